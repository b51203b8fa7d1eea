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
 * The routes by which operators create, list and withdraw keys. A key is made here, stands in the answer once, and is
 * stored as a digest only. Safe for use by any thread.
 */
final class KeyRoutes {

    /** The number of random bytes of a key. */
    private static final int KEY_BYTES = 32;

    /** What every key starts with, so that leaked keys can be found. */
    private static final String KEY_PREFIX = "bpk_";

    /** Makes keys. */
    private final SecureRandom random = new SecureRandom();

    /** Submits changes. */
    private final Changes changes;

    /** Reads the state. */
    private final StateReader reader;

    /** Tells which workspaces exist. */
    private final ConfigurationSource configuration;

    /**
     * Creates the routes.
     *
     * @param changes submits changes
     * @param reader reads the state
     * @param configuration tells which workspaces exist
     */
    KeyRoutes(Changes changes, StateReader reader, ConfigurationSource configuration) {
        this.changes = changes;
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
     * Creates a key.
     *
     * @param request the request
     * @return the answer, which holds the key
     */
    private CompletionStage<OperatorAnswer> create(OperatorRequest request) {
        Optional<String> identity = request.text("change_identity");
        Optional<String> workspace = request.text("workspace");
        if (identity.isEmpty() || workspace.isEmpty()) {
            return malformed("change_identity and workspace are needed");
        }
        if (!configuration.current().workspaces().containsKey(workspace.get())) {
            return malformed("No such workspace: " + workspace.get());
        }
        byte[] bytes = new byte[KEY_BYTES];
        random.nextBytes(bytes);
        String key = KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
        String digest = digestOf(key);
        Command.Builder command = Command.newBuilder()
                .setCreateKey(CreateKey.newBuilder()
                        .setChangeIdentity(identity.get())
                        .setKeyIdentity(request.text("key_identity").orElse(identity.get()))
                        .setDigest(digest)
                        .setWorkspace(workspace.get())
                        .setOperator(request.text("operator").orElse("operator")));
        long waitMillis = request.number("wait_millis").orElse(0L);
        return changes.submit(command)
                .thenCompose(submission -> changes.finish(created(submission, key, digest), waitMillis));
    }

    /**
     * Turns the outcome of a creation into an answer.
     *
     * @param submission the outcome
     * @param key the key
     * @param digest the key's digest
     * @return the answer
     */
    private static OperatorAnswer created(Submission submission, String key, String digest) {
        OperatorAnswer answer = Changes.answerTo(submission);
        if (!(submission instanceof Submission.Replied replied)
                || !replied.reply().hasKeyCreated()) {
            return answer;
        }
        KeyState state = replied.reply().getKeyCreated().getKey();
        answer.with("identity", state.getIdentity()).with("workspace", state.getWorkspace());
        boolean isOwn = state.getDigest().equals(digest);
        return isOwn ? answer.with("key", key) : answer.with("already_created", true);
    }

    /**
     * Withdraws a key.
     *
     * @param request the request
     * @return the answer
     */
    private CompletionStage<OperatorAnswer> withdraw(OperatorRequest request) {
        Command.Builder command = Command.newBuilder()
                .setWithdrawKey(WithdrawKey.newBuilder()
                        .setKeyIdentity(request.pathParameters().get("identity")));
        long waitMillis = request.queryNumber("wait_millis").orElse(0L);
        return changes.submit(command).thenCompose(submission -> {
            boolean isMissing = submission instanceof Submission.Replied replied
                    && replied.reply().getBodyCase() == Reply.BodyCase.MISSING;
            return isMissing
                    ? CompletableFuture.completedFuture(OperatorAnswer.failed(ResultCode.UNKNOWN_KEY))
                    : changes.finish(Changes.answerTo(submission), waitMillis);
        });
    }

    /**
     * Lists the keys by their identities.
     *
     * @param request the request
     * @return the answer
     */
    private CompletionStage<OperatorAnswer> list(OperatorRequest request) {
        WatchRequest question = WatchRequest.newBuilder()
                .setReadKeys(ReadKeys.getDefaultInstance())
                .build();
        return reader.read(question).thenApply(answer -> {
            if (answer.isEmpty()) {
                return OperatorAnswer.failed(ResultCode.NOT_LEADER);
            }
            JsonArray keys = new JsonArray();
            answer.get()
                    .getKeysList()
                    .forEach(key -> keys.add(new JsonObject()
                            .put("identity", key.getIdentity())
                            .put("workspace", key.getWorkspace())
                            .put("withdrawn", key.getWithdrawn())));
            return OperatorAnswer.of(new JsonObject().put("keys", keys));
        });
    }

    /**
     * Returns the digest of a key.
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
     * Returns the answer to a request that lacks something.
     *
     * @param message what is wrong
     * @return the answer
     */
    private static CompletionStage<OperatorAnswer> malformed(String message) {
        return CompletableFuture.completedFuture(OperatorAnswer.failed(ResultCode.MALFORMED_REQUEST, message));
    }
}
