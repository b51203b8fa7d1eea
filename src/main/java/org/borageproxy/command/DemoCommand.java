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
import org.borageproxy.standin.AnnouncementSettings;
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
 * Runs a VM, a simulated model engine and a simulated plain service in one process, with a small settings tree and an
 * API key, and prints example requests. The state is in a temporary folder, deleted at exit. Not thread safe.
 */
final class DemoCommand implements Command {

    private static final String HOST = "127.0.0.1";
    private static final int OPERATOR_PORT_OFFSET = 1;
    private static final int ANNOUNCE_PORT_OFFSET = 2;
    private static final int VM_PORT_OFFSET = 3;
    private static final long ANNOUNCE_INTERVAL_MILLIS = 250;
    private static final long PUBLISH_TIMEOUT_MILLIS = 10_000;
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

    @Option(
            name = "--port",
            metaVar = "PORT",
            usage = "port for callers; the three ports that follow it are used as well")
    private int port = 8080;

    @Option(name = "--once", usage = "send one request, print the response and exit")
    private boolean once;

    @Override
    public ExitCode run(PrintStream output) throws Exception {
        Path folder = Files.createTempDirectory("borageproxy-demo");
        ProcessSettings settings = settings(folder);
        GroupMember.bootstrap(
                settings.dataFolder().orElseThrow(),
                settings.controlGroup(),
                settings.vm().name(),
                List.of(settings.vm().name()));
        VmProcess process = VmProcess.start(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process, folder), "stop"));
        startStandIns(settings.credentials().announcer());
        String key = applyTreeAndCreateKey(settings.credentials().operator());
        printExamples(output, key, settings.credentials().operator(), folder);
        if (once) {
            return sendOneRequest(output, process, key);
        }
        process.stopped().toCompletableFuture().join();
        return ExitCode.DONE;
    }

    /**
     * Returns the settings of a VM that is the only member of its control group.
     *
     * @param folder the folder for the state
     * @return the settings
     */
    private ProcessSettings settings(Path folder) {
        VmAddress self = new VmAddress(new VmName("demo"), new AvailabilityZone("zone-a"), HOST, port + VM_PORT_OFFSET);
        return new ProcessSettings(
                self,
                Optional.of(new Endpoint(HOST, port)),
                new Endpoint(HOST, port + OPERATOR_PORT_OFFSET),
                new Endpoint(HOST, port + ANNOUNCE_PORT_OFFSET),
                Optional.of(folder.resolve("data")),
                "demo",
                List.of(self),
                new Credentials(randomSecret(), randomSecret(), randomSecret()),
                new ShutdownSettings(0, ShutdownSettings.DEFAULT.timeoutMillis()));
    }

    private static String randomSecret() {
        return UUID.randomUUID().toString();
    }

    /**
     * Starts the stand-ins of a model engine and a plain service.
     *
     * @param credential the announcers' credential
     * @throws Exception if a port cannot be bound
     */
    private void startStandIns(String credential) throws Exception {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        AnnouncementSettings announcing = new AnnouncementSettings(
                List.of(HOST + ":" + (port + ANNOUNCE_PORT_OFFSET)), credential, ANNOUNCE_INTERVAL_MILLIS);
        EngineMemory memory =
                EngineMemory.ofOneAccelerator().withPreloaded(List.of(new LoadedModel("llama", "1", "0", Set.of())));
        EngineOptions engine = EngineOptions.named("engine-1", "zone-a")
                .withAnnouncements(announcing)
                .withTiming(EngineTiming.FAST)
                .withMemory(memory);
        ServiceOptions service =
                ServiceOptions.named("service-1", "zone-a", "stock").withAnnouncements(announcing);
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
     * Applies the settings tree, waits until it is served, and creates an API key.
     *
     * @param credential the operators' credential
     * @return the API key
     */
    private String applyTreeAndCreateKey(String credential) {
        Endpoint endpoint = new Endpoint(HOST, port + OPERATOR_PORT_OFFSET);
        try (OperatorClient client = new OperatorClient(List.of(endpoint), credential)) {
            JsonObject change = new JsonObject()
                    .put("document", TREE)
                    .put("change_identity", "demo-tree")
                    .put("base_revision", 0)
                    .put("wait_millis", PUBLISH_TIMEOUT_MILLIS);
            requireSuccess(client.call(HttpMethod.POST, "/v1/tree", change));
            JsonObject key = new JsonObject().put("workspace", "demo").put("change_identity", "demo-key");
            return requireSuccess(client.call(HttpMethod.POST, "/v1/keys", key)).getString("key");
        }
    }

    /**
     * Returns the body of a response, or fails the command if the response is an error.
     *
     * @param response the response
     * @return the body
     */
    private static JsonObject requireSuccess(OperatorClient.Response response) {
        if (!response.isSuccess()) {
            throw new CommandFailure(ExitCode.REFUSED, response.body().encode());
        }
        return response.body();
    }

    /**
     * Prints example requests as command lines.
     *
     * @param output the stream to print to
     * @param key the API key
     * @param credential the operators' credential
     * @param folder the folder in which the credential file is created
     * @throws IOException if the credential file cannot be written
     */
    private void printExamples(PrintStream output, String key, String credential, Path folder) throws IOException {
        Path credentialFile = folder.resolve("operator");
        Files.writeString(credentialFile, credential);
        output.println();
        output.println("A chat request, streamed:");
        output.println("  curl -N http://" + HOST + ":" + port + "/v1/chat/completions"
                + " -H 'Authorization: Bearer " + key + "' -H 'Content-Type: application/json'"
                + " -d '" + chatBody(true) + "'");
        output.println("A plain service:");
        output.println("  curl http://" + HOST + ":" + port + "/stock/7 -H 'Authorization: Bearer " + key + "'");
        output.println("The state of the fleet:");
        output.println("  target/borageproxy status --vm " + HOST + ":" + (port + OPERATOR_PORT_OFFSET)
                + " --credential " + credentialFile);
        output.println();
    }

    /**
     * Returns the body of a chat request.
     *
     * @param stream whether the response is to be streamed
     * @return the body
     */
    private static String chatBody(boolean stream) {
        return "{\"model\":\"llama\",\"max_tokens\":16,\"stream\":" + stream
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    }

    /**
     * Sends one request, prints the response and shuts the VM down. The operators' client also fits the callers'
     * interface: it sends JSON with a bearer token.
     *
     * @param output the stream to print to
     * @param process the VM
     * @param key the API key
     * @return the exit code
     */
    private ExitCode sendOneRequest(PrintStream output, VmProcess process, String key) {
        OperatorClient.Response response;
        try (OperatorClient client = new OperatorClient(List.of(new Endpoint(HOST, port)), key)) {
            response = client.call(HttpMethod.POST, "/v1/chat/completions", new JsonObject(chatBody(false)));
        }
        output.println(response.body().encodePrettily());
        process.shutDown().toCompletableFuture().join();
        return response.isSuccess() ? ExitCode.DONE : ExitCode.REFUSED;
    }

    /**
     * Shuts the VM down and deletes its state.
     *
     * @param process the VM
     * @param folder the folder of the state
     */
    private static void stop(VmProcess process, Path folder) {
        process.shutDown().toCompletableFuture().join();
        delete(folder);
    }

    /**
     * Deletes a folder recursively.
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
