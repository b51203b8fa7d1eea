package org.borageproxy.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.control.Submission;
import org.borageproxy.result.ResultCode;
import org.borageproxy.spread.StateReader;
import org.borageproxy.tree.ConfigurationSource;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.CreateKey;
import org.borageproxy.wire.proto.ControlProtocol.KeyState;
import org.borageproxy.wire.proto.ControlProtocol.ReadKeys;
import org.borageproxy.wire.proto.ControlProtocol.Reply;
import org.borageproxy.wire.proto.ControlProtocol.WatchRequest;
import org.borageproxy.wire.proto.ControlProtocol.WithdrawKey;

/**
 * The routes by which operators create, list and withdraw API keys. A key is generated here and returned only in the
 * response to the request that created it; only its digest is stored. Thread safe.
 */
final class KeyRoutes {

    /** The number of random bytes of a key. */
    private static final int KEY_RANDOM_BYTES = 32;

    /** The prefix of every key, by which secret scanners can find leaked keys. */
    private static final String KEY_PREFIX = "bpk_";

    /** Generates the random bytes of keys. */
    private final SecureRandom random = new SecureRandom();

    /** Submits changes to the control group. */
    private final ChangeSubmitter submitter;

    /** Reads the control group's state. */
    private final StateReader reader;

    /** The configuration that this VM serves, which lists the workspaces. */
    private final ConfigurationSource configuration;

    /**
     * Creates the routes.
     *
     * @param submitter submits changes to the control group
     * @param reader reads the control group's state
     * @param configuration the configuration that this VM serves
     */
    KeyRoutes(ChangeSubmitter submitter, StateReader reader, ConfigurationSource configuration) {
        this.submitter = submitter;
        this.reader = reader;
        this.configuration = configuration;
    }

    /**
     * Returns the routes.
     *
     * @return the routes
     */
    List<OperatorRoute> routes() {
        return List.of(
                new OperatorRoute("POST", "/v1/keys", this::create),
                new OperatorRoute("GET", "/v1/keys", this::list),
                new OperatorRoute("DELETE", "/v1/keys/{identity}", this::withdraw));
    }

    /**
     * Creates a key. A repetition with the same change identity does not return the key again.
     *
     * @param request the request
     * @return the response, with the key if this request created it
     */
    private CompletionStage<OperatorResponse> create(OperatorRequest request) {
        Optional<String> identity = request.textField("change_identity");
        Optional<String> workspace = request.textField("workspace");
        if (identity.isEmpty() || workspace.isEmpty()) {
            return malformedRequest("change_identity and workspace are needed");
        }
        if (!configuration.current().workspaces().containsKey(workspace.get())) {
            return malformedRequest("No such workspace: " + workspace.get());
        }
        byte[] bytes = new byte[KEY_RANDOM_BYTES];
        random.nextBytes(bytes);
        String key = KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
        String digest = digestOf(key);
        Command.Builder command = Command.newBuilder()
                .setCreateKey(CreateKey.newBuilder()
                        .setChangeIdentity(identity.get())
                        .setKeyIdentity(request.textField("key_identity").orElse(identity.get()))
                        .setDigest(digest)
                        .setWorkspace(workspace.get())
                        .setOperator(request.textField("operator").orElse("operator")));
        long waitMillis = request.numberField("wait_millis").orElse(0L);
        return submitter
                .submit(command)
                .thenCompose(
                        submission -> submitter.awaitInForce(responseToCreate(submission, key, digest), waitMillis));
    }

    /**
     * Converts the outcome of a creation to a response. A stored digest other than that of the generated key means that
     * an earlier copy of the request created the key.
     *
     * @param submission the outcome
     * @param key the generated key
     * @param digest the digest of the generated key
     * @return the response
     */
    private static OperatorResponse responseToCreate(Submission submission, String key, String digest) {
        OperatorResponse response = ChangeSubmitter.responseTo(submission);
        if (!(submission instanceof Submission.Replied replied)
                || !replied.reply().hasKeyCreated()) {
            return response;
        }
        KeyState state = replied.reply().getKeyCreated().getKey();
        response.putField("identity", state.getIdentity()).putField("workspace", state.getWorkspace());
        boolean isCreatedHere = state.getDigest().equals(digest);
        return isCreatedHere ? response.putField("key", key) : response.putField("already_created", true);
    }

    /**
     * Withdraws a key permanently.
     *
     * @param request the request
     * @return the response
     */
    private CompletionStage<OperatorResponse> withdraw(OperatorRequest request) {
        Command.Builder command = Command.newBuilder()
                .setWithdrawKey(WithdrawKey.newBuilder()
                        .setKeyIdentity(request.pathParameters().get("identity")));
        long waitMillis = request.queryNumberParameter("wait_millis").orElse(0L);
        return submitter.submit(command).thenCompose(submission -> {
            boolean isMissing = submission instanceof Submission.Replied replied
                    && replied.reply().getBodyCase() == Reply.BodyCase.MISSING;
            return isMissing
                    ? CompletableFuture.completedFuture(OperatorResponse.error(ResultCode.UNKNOWN_KEY))
                    : submitter.awaitInForce(ChangeSubmitter.responseTo(submission), waitMillis);
        });
    }

    /**
     * Lists all keys, withdrawn ones included, by their public identities.
     *
     * @param request the request
     * @return the response
     */
    private CompletionStage<OperatorResponse> list(OperatorRequest request) {
        WatchRequest query = WatchRequest.newBuilder()
                .setReadKeys(ReadKeys.getDefaultInstance())
                .build();
        return reader.read(query).thenApply(answer -> {
            if (answer.isEmpty()) {
                return OperatorResponse.error(ResultCode.NOT_LEADER);
            }
            JsonArray keys = new JsonArray();
            answer.get()
                    .getKeysList()
                    .forEach(key -> keys.add(new JsonObject()
                            .put("identity", key.getIdentity())
                            .put("workspace", key.getWorkspace())
                            .put("withdrawn", key.getWithdrawn())));
            return OperatorResponse.ok(new JsonObject().put("keys", keys));
        });
    }

    /**
     * Computes the digest under which a key is stored.
     *
     * @param key the key
     * @return the lower-case hexadecimal SHA-256 digest
     */
    private static String digestOf(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /**
     * Returns the response to a request with missing or invalid fields.
     *
     * @param message the description shown to the operator
     * @return the response
     */
    private static CompletionStage<OperatorResponse> malformedRequest(String message) {
        return CompletableFuture.completedFuture(OperatorResponse.error(ResultCode.MALFORMED_REQUEST, message));
    }
}
