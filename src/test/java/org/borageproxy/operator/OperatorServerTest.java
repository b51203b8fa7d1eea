package org.borageproxy.operator;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.command.CommandLine;
import org.borageproxy.command.ExitCode;
import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlService;
import org.borageproxy.control.ControlState;
import org.borageproxy.control.LoopbackNetwork;
import org.borageproxy.control.Timer;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.log.ReplicatedLog;
import org.borageproxy.spread.ControlStateWatcher;
import org.borageproxy.spread.StateReader;
import org.borageproxy.spread.WatchService;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.tree.TreeError;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.UnreachableException;
import org.borageproxy.wire.VmNetwork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the operators' interface over HTTP on a VM that is the only member of the control group. */
class OperatorServerTest {

    private static final String DOCUMENT =
            "[settings]\nrate_tokens_per_second = 5\nburst_tokens = 50\n[workspaces.w]\n";

    private static final VmName SELF = new VmName("vm-1");

    private final Vertx vertx = Vertx.vertx();

    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

    private final HttpClient http = HttpClient.newHttpClient();

    private final ControlState state = new ControlState();

    private ControlStateWatcher spread;

    private volatile List<TreeError> errors = List.of();

    private int port;

    @BeforeEach
    void start() throws Exception {
        ReplicatedLog log = new SingleLog(state);
        MonotonicClock clock = MonotonicClock.ofSystem();
        Timer timer = Timer.of(executor);
        VmNetwork network = new LoopbackNetwork(SELF, new NoNetwork());
        ControlClient client = new ControlClient(SELF, network, () -> List.of(SELF), clock, timer);
        network.registerHandler(MessageKind.CONTROL_COMMAND, new ControlService(log, state, clock));
        network.registerHandler(MessageKind.STATE_WATCH, new WatchService(log, state, client, clock, timer));
        VmAddress address = new VmAddress(SELF, new AvailabilityZone("a"), "127.0.0.1", 4000);
        spread = new ControlStateWatcher(
                address, network, () -> List.of(SELF), clock, timer, EventRecorder.NoOp.INSTANCE);
        spread.start();
        StateReader reader = new StateReader(network, () -> List.of(SELF), clock);
        OperatorServer server = new OperatorServer(
                vertx, "127.0.0.1", 0, "secret", OperatorRoutes.of(client, reader, spread, timer, tree -> errors));
        port = server.start().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        spread.stop();
        executor.shutdownNow();
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private JsonObject call(String method, String path, JsonObject body, int status) throws Exception {
        return call("secret", method, path, body, status);
    }

    private JsonObject call(String credential, String method, String path, JsonObject body, int status)
            throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .header("Authorization", "Bearer " + credential)
                .method(method, HttpRequest.BodyPublishers.ofString(body.encode()))
                .build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(status, response.statusCode(), response.body());
        return new JsonObject(response.body());
    }

    private static JsonObject change(String identity, long base, String document) {
        return new JsonObject()
                .put("change_identity", identity)
                .put("base_revision", base)
                .put("document", document)
                .put("wait_millis", 10_000);
    }

    @Test
    void treeIsAppliedReadDiffedAndRolledBackAndConflictsAreRejected() throws Exception {
        JsonObject first = call("POST", "/v1/tree", change("one", 0, DOCUMENT), 200);
        assertEquals(1, first.getInteger("revision"));
        assertTrue(first.getBoolean("in_force"));
        assertEquals(first.getInteger("revision"), (int) spread.current().revision());
        call("POST", "/v1/tree", change("two", 1, DOCUMENT + "priority = 3\n"), 200);
        JsonObject conflict = call("POST", "/v1/tree", change("three", 1, DOCUMENT), 409);
        assertEquals(5000, conflict.getJsonObject("error").getInteger("code"));
        assertEquals(2, conflict.getInteger("current_revision"));
        assertEquals(
                1, call("POST", "/v1/tree", change("one", 0, DOCUMENT), 200).getInteger("revision"));
        JsonObject reused = call("POST", "/v1/tree", change("one", 2, DOCUMENT + "priority = 4\n"), 409);
        assertEquals(5001, reused.getJsonObject("error").getInteger("code"));
        JsonArray differences =
                call("GET", "/v1/diff?from=1&to=2", new JsonObject(), 200).getJsonArray("differences");
        assertEquals("3", differences.getJsonObject(0).getString("after"));
        JsonObject rollback = new JsonObject()
                .put("change_identity", "b")
                .put("base_revision", 2)
                .put("to_revision", 1);
        assertEquals(3, call("POST", "/v1/rollback", rollback, 200).getInteger("revision"));
        assertEquals(DOCUMENT, call("GET", "/v1/tree", new JsonObject(), 200).getString("document"));
        assertEquals(
                3,
                call("GET", "/v1/revisions", new JsonObject(), 200)
                        .getJsonArray("revisions")
                        .size());
        call("GET", "/v1/tree?revision=9", new JsonObject(), 404);
    }

    @Test
    void rollbackCommandRestoresAnEarlierRevision(@TempDir Path folder) throws Exception {
        call("POST", "/v1/tree", change("one", 0, DOCUMENT), 200);
        call("POST", "/v1/tree", change("two", 1, DOCUMENT + "priority = 3\n"), 200);
        Path credential = Files.writeString(folder.resolve("credential"), "secret");
        String[] arguments = {
            "rollback", "1", "--base", "2", "--vm", "127.0.0.1:" + port, "--credential", credential.toString()
        };
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream printed = new PrintStream(output);
        assertEquals(ExitCode.DONE, new CommandLine().run(arguments, printed, printed), output::toString);
        assertEquals(DOCUMENT, call("GET", "/v1/tree", new JsonObject(), 200).getString("document"));
    }

    @Test
    void invalidDocumentIsRejectedWithAllErrors() throws Exception {
        JsonObject answer = call("POST", "/v1/tree", change("one", 0, "[workspaces.w]\nx = 1\ny = 2\n"), 422);
        assertEquals(5002, answer.getJsonObject("error").getInteger("code"));
        assertEquals(2, answer.getJsonArray("errors").size());
        call("POST", "/v1/tree", new JsonObject().put("document", DOCUMENT), 400);
        assertTrue(call("POST", "/v1/tree", change("one", 0, DOCUMENT), 200).getBoolean("in_force"));
    }

    @Test
    void fleetCheckRejectsNewChangesButNotRetriesOfAcceptedOnes() throws Exception {
        call("POST", "/v1/tree", change("one", 0, DOCUMENT), 200);
        errors = List.of(new TreeError("models.m", 0, "Does not fit"));
        assertEquals(
                1, call("POST", "/v1/tree", change("one", 0, DOCUMENT), 200).getInteger("revision"));
        call("POST", "/v1/tree", change("two", 1, DOCUMENT), 422);
        call("POST", "/v1/tree", change("two", 1, DOCUMENT).put("check_only", true), 422);
        errors = List.of();
        assertTrue(call(
                        "POST",
                        "/v1/tree",
                        new JsonObject().put("document", DOCUMENT).put("check_only", true),
                        200)
                .getBoolean("valid"));
        assertEquals(
                2, call("POST", "/v1/tree", change("two", 1, DOCUMENT), 200).getInteger("revision"));
    }

    @Test
    void removedVmThatIsStillRunningRegistersAgain() throws Exception {
        CompletableFuture<Void> registered = new CompletableFuture<>();
        spread.subscribeVms(vms -> completeIf(!vms.isEmpty(), registered));
        registered.get(10, TimeUnit.SECONDS);
        call("DELETE", "/v1/vms/vm-1", new JsonObject(), 200);
        CompletableFuture<Void> again = new CompletableFuture<>();
        spread.subscribeVms(vms -> completeIf(isRegistered(), again));
        again.get(10, TimeUnit.SECONDS);
        call("DELETE", "/v1/vms/none", new JsonObject(), 400);
    }

    private boolean isRegistered() {
        return state.vm(SELF.value()).isPresent();
    }

    private static void completeIf(boolean condition, CompletableFuture<Void> future) {
        if (condition) {
            future.complete(null);
        }
    }

    @Test
    void keyIsReturnedOnlyOnCreationAndCanBeRevoked() throws Exception {
        call("POST", "/v1/tree", change("one", 0, DOCUMENT), 200);
        JsonObject request = new JsonObject()
                .put("change_identity", "key-1")
                .put("workspace", "w")
                .put("wait_millis", 10_000);
        JsonObject created = call("POST", "/v1/keys", request, 200);
        assertTrue(created.getString("key").startsWith("bpk_"));
        JsonObject again = call("POST", "/v1/keys", request, 200);
        assertFalse(again.containsKey("key"));
        assertEquals(1, spread.current().keysByDigest().size());
        assertFalse(call("GET", "/v1/keys", new JsonObject(), 200).encode().contains(created.getString("key")));
        call("DELETE", "/v1/keys/key-1?wait_millis=10000", new JsonObject(), 200);
        assertTrue(spread.current().keysByDigest().values().iterator().next().withdrawn());
        call("DELETE", "/v1/keys/none", new JsonObject(), 404);
    }

    @Test
    void wrongCredentialMethodOrPathIsRejected() throws Exception {
        call("other", "GET", "/v1/status", new JsonObject(), 401);
        assertTrue(call("GET", "/v1/status", new JsonObject(), 200).containsKey("vms"));
        call("PUT", "/v1/status", new JsonObject(), 405);
        call("GET", "/v1/none", new JsonObject(), 404);
    }

    /** A log with a single member, which commits every proposal at once. */
    private static final class SingleLog implements ReplicatedLog {

        private final ControlState state;

        private long index;

        private SingleLog(ControlState state) {
            this.state = state;
        }

        @Override
        public synchronized CompletionStage<ProposalOutcome> propose(ByteString command, Deadline deadline) {
            index++;
            ByteString reply = state.apply(index, System.currentTimeMillis(), command);
            return CompletableFuture.completedFuture(new ProposalOutcome.Committed(index, reply));
        }

        @Override
        public CompletionStage<Boolean> confirmRead(Deadline deadline) {
            return CompletableFuture.completedFuture(true);
        }

        @Override
        public Optional<VmName> leader() {
            return Optional.of(SELF);
        }

        @Override
        public boolean isLeader() {
            return true;
        }
    }

    /** A network on which no other VM can be reached. */
    private static final class NoNetwork implements VmNetwork {

        private final Map<MessageKind, Handler> handlers = new ConcurrentHashMap<>();

        @Override
        public void send(VmName recipient, MessageKind kind, ByteString body) {
            // No other VM exists.
        }

        @Override
        public CompletionStage<ByteString> request(
                VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
            return CompletableFuture.failedFuture(new UnreachableException("No other VM exists"));
        }

        @Override
        public void registerHandler(MessageKind kind, Handler handler) {
            handlers.put(kind, handler);
        }
    }
}
