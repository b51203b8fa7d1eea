package org.borageproxy.command;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.stream.Stream;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.borageproxy.log.GroupMember;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.server.VmProcess;
import org.borageproxy.settings.Credentials;
import org.borageproxy.settings.Endpoint;
import org.borageproxy.settings.ProcessSettings;
import org.borageproxy.settings.ShutdownSettings;
import org.borageproxy.standin.Announcing;
import org.borageproxy.standin.EngineMemory;
import org.borageproxy.standin.EngineOptions;
import org.borageproxy.standin.EngineTiming;
import org.borageproxy.standin.ModelEngine;
import org.borageproxy.standin.PlainService;
import org.borageproxy.standin.ServiceOptions;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.kohsuke.args4j.Option;

/**
 * Runs a VM, a model engine and a plain service in one process, with a small tree and a key, and prints requests to
 * try. Its state is deleted at the end. Used by one thread.
 */
final class DemoCommand implements Command {

    /** The IP address of everything in the demonstration. */
    private static final String HOST = "127.0.0.1";
    /** The distance of the other ports from the callers' port. */
    private static final int OPERATORS_OFFSET = 1;
    /** The distance of the announce port from the callers' port. */
    private static final int ANNOUNCEMENTS_OFFSET = 2;
    /** The distance of the port between VMs from the callers' port. */
    private static final int VMS_OFFSET = 3;
    /** The time between two announcements in milliseconds. */
    private static final long ANNOUNCE_MILLIS = 250;
    /** The time to wait until the tree is in force, in milliseconds. */
    private static final long WAIT_MILLIS = 10_000;
    /** The settings tree. */
    private static final String TREE = """
            [settings]
            rate_tokens_per_second = 2_000
            burst_tokens = 10_000
            memory_bytes = 16_000_000_000

            [workspaces.demo]

            [models.llama]
            versions = { "1" = 1 }

            [routes.stock]
            path_prefix = "/stock"
            service = "stock"
            repeatable = true
            """;

    /** The port for callers. */
    @Option(name = "--port", metaVar = "PORT", usage = "port for callers; the three ports after it are used too")
    private int port = 8080;

    /** Whether to end after the requests were printed and tried. */
    @Option(name = "--once", usage = "send one request, print its answer and end")
    private boolean once;

    @Override
    public ExitCode run(PrintStream output) throws Exception {
        Path folder = Files.createTempDirectory("borageproxy-demo");
        ProcessSettings settings = settings(folder);
        GroupMember.bootstrap(
                settings.dataFolder().orElseThrow(),
                settings.group(),
                settings.vm().name(),
                List.of(settings.vm().name()));
        VmProcess process = VmProcess.start(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process, folder), "stop"));
        startStandIns(settings.credentials().announcer());
        String key = prepare(settings.credentials().operator());
        print(output, key, settings.credentials().operator(), folder);
        if (once) {
            return tryOnce(output, process, key);
        }
        process.stopped().toCompletableFuture().join();
        return ExitCode.DONE;
    }

    /**
     * Returns the settings of the VM.
     *
     * @param folder the folder for its state
     * @return the settings
     */
    private ProcessSettings settings(Path folder) {
        VmAddress self = new VmAddress(new VmName("demo"), new AvailabilityZone("zone-a"), HOST, port + VMS_OFFSET);
        return new ProcessSettings(
                self,
                Optional.of(new Endpoint(HOST, port)),
                new Endpoint(HOST, port + OPERATORS_OFFSET),
                new Endpoint(HOST, port + ANNOUNCEMENTS_OFFSET),
                Optional.of(folder.resolve("data")),
                "demo",
                List.of(self),
                new Credentials(secret(), secret(), secret()),
                new ShutdownSettings(0, ShutdownSettings.DEFAULT.limitMillis()));
    }

    /**
     * Returns a random secret.
     *
     * @return the secret
     */
    private static String secret() {
        return UUID.randomUUID().toString();
    }

    /**
     * Starts a model engine and a plain service.
     *
     * @param credential the announcers' credential
     * @throws Exception if a port cannot be opened
     */
    private void startStandIns(String credential) throws Exception {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        Announcing announcing =
                new Announcing(List.of(HOST + ":" + (port + ANNOUNCEMENTS_OFFSET)), credential, ANNOUNCE_MILLIS);
        EngineMemory memory =
                EngineMemory.ofOneAccelerator().withPreloaded(List.of(new LoadedModel("llama", "1", "0", Set.of())));
        EngineOptions engine = EngineOptions.named("engine-1", "zone-a")
                .withAnnouncing(announcing)
                .withTiming(EngineTiming.FAST)
                .withMemory(memory);
        ServiceOptions service =
                ServiceOptions.named("service-1", "zone-a", "stock").withAnnouncing(announcing);
        new ModelEngine(vertx, engine)
                .start()
                .toCompletionStage()
                .toCompletableFuture()
                .get();
        new PlainService(vertx, service)
                .start()
                .toCompletionStage()
                .toCompletableFuture()
                .get();
    }

    /**
     * Applies the tree and creates a key.
     *
     * @param credential the operators' credential
     * @return the key
     */
    private String prepare(String credential) {
        Endpoint endpoint = new Endpoint(HOST, port + OPERATORS_OFFSET);
        try (OperatorClient client = new OperatorClient(List.of(endpoint), credential)) {
            JsonObject change = new JsonObject()
                    .put("document", TREE)
                    .put("change_identity", "demo-tree")
                    .put("base_revision", 0)
                    .put("wait_millis", WAIT_MILLIS);
            succeed(client.call(HttpMethod.POST, "/v1/tree", change));
            JsonObject key = new JsonObject().put("workspace", "demo").put("change_identity", "demo-key");
            return succeed(client.call(HttpMethod.POST, "/v1/keys", key)).getString("key");
        }
    }

    /**
     * Returns the body of an answer that must be a success.
     *
     * @param answer the answer
     * @return the body
     */
    private static JsonObject succeed(OperatorClient.Answer answer) {
        if (!answer.isSuccess()) {
            throw new CommandFailure(ExitCode.REFUSED, answer.body().encode());
        }
        return answer.body();
    }

    /**
     * Prints requests to try.
     *
     * @param output takes the text
     * @param key the key
     * @param credential the operators' credential
     * @param folder the folder for the state
     * @throws IOException if the credential cannot be written
     */
    private void print(PrintStream output, String key, String credential, Path folder) throws IOException {
        Path credentialFile = folder.resolve("operator");
        Files.writeString(credentialFile, credential);
        output.println();
        output.println("A chat request, streamed:");
        output.println("  curl -N http://" + HOST + ":" + port + "/v1/chat/completions"
                + " -H 'Authorization: Bearer " + key + "' -H 'Content-Type: application/json'"
                + " -d '" + chat(true) + "'");
        output.println("A plain service:");
        output.println("  curl http://" + HOST + ":" + port + "/stock/7 -H 'Authorization: Bearer " + key + "'");
        output.println("The state of the fleet:");
        output.println("  target/borageproxy status --vm " + HOST + ":" + (port + OPERATORS_OFFSET) + " --credential "
                + credentialFile);
        output.println();
    }

    /**
     * Returns the body of a chat request.
     *
     * @param stream whether the answer is streamed
     * @return the body
     */
    private static String chat(boolean stream) {
        return "{\"model\":\"llama\",\"max_tokens\":16,\"stream\":" + stream
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    }

    /**
     * Sends one request, prints its answer and shuts the VM down.
     *
     * @param output takes the answer
     * @param process the VM
     * @param key the key
     * @return the exit code
     */
    private ExitCode tryOnce(PrintStream output, VmProcess process, String key) {
        OperatorClient.Answer answer;
        try (OperatorClient client = new OperatorClient(List.of(new Endpoint(HOST, port)), key)) {
            answer = client.call(HttpMethod.POST, "/v1/chat/completions", new JsonObject(chat(false)));
        }
        output.println(answer.body().encodePrettily());
        process.shutDown().toCompletableFuture().join();
        return answer.isSuccess() ? ExitCode.DONE : ExitCode.REFUSED;
    }

    /**
     * Shuts the VM down and deletes its state.
     *
     * @param process the VM
     * @param folder the folder of its state
     */
    private static void stop(VmProcess process, Path folder) {
        process.shutDown().toCompletableFuture().join();
        delete(folder);
    }

    /**
     * Deletes a folder with all that it holds.
     *
     * @param folder the folder
     */
    private static void delete(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
