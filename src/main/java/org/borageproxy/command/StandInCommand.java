package org.borageproxy.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.borageproxy.membership.Accelerator;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.settings.Endpoint;
import org.borageproxy.standin.AnnouncementSettings;
import org.borageproxy.standin.EngineMemory;
import org.borageproxy.standin.EngineOptions;
import org.borageproxy.standin.EngineTiming;
import org.borageproxy.standin.ModelEngine;
import org.borageproxy.standin.PlainService;
import org.borageproxy.standin.ServiceOptions;
import org.borageproxy.standin.WeightStore;
import org.borageproxy.standin.WeightStoreOptions;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Runs a stand-in of a model engine, a plain service or a weight store until the process is terminated. Not thread
 * safe.
 */
final class StandInCommand implements Command {

    private static final long ANNOUNCE_INTERVAL_MILLIS = 250;

    @Argument(required = true, metaVar = "engine|service|store", usage = "kind of the stand-in")
    private String kind;

    @Option(name = "--name", metaVar = "NAME", usage = "name of the backend server, and of the plain service it offers")
    private String name = "stand-in";

    @Option(name = "--zone", metaVar = "ZONE", usage = "availability zone")
    private String zone = "zone-a";

    @Option(name = "--listen", required = true, metaVar = "HOST:PORT", usage = "address to listen on")
    private String listenAddress;

    @Option(name = "--announce", metaVar = "HOST:PORT", usage = "announce address of a VM; may be repeated")
    private List<String> announceAddresses = new ArrayList<>();

    @Option(name = "--credential", metaVar = "FILE", usage = "file with the announcers' credential")
    private String credentialFile = "";

    @Option(name = "--model", metaVar = "MODEL/VERSION", usage = "model loaded at startup; may be repeated")
    private List<String> preloadedModels = new ArrayList<>();

    @Option(name = "--memory", metaVar = "BYTES", usage = "memory of the accelerator in bytes")
    private long memoryBytes = 80_000_000_000L;

    @Option(name = "--model-memory", metaVar = "BYTES", usage = "memory required by each model in bytes")
    private long modelMemoryBytes = 16_000_000_000L;

    @Option(name = "--ignore-fencing", usage = "accept orders with an outdated fencing token")
    private boolean ignoreFencing;

    @Option(
            name = "--token-millis",
            metaVar = "MILLIS",
            usage = "time between two output tokens of a request in milliseconds")
    private long tokenMillis = 5;

    @Option(
            name = "--output-tokens",
            metaVar = "COUNT",
            usage = "number of output tokens of a request without a lower limit")
    private int outputTokens = 16;

    @Option(
            name = "--weight-store",
            metaVar = "HOST:PORT",
            usage = "address of the weight store from which models are fetched")
    private String weightStoreAddress = "";

    @Override
    public ExitCode run(PrintStream output) throws Exception {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        int port = start(vertx).toCompletionStage().toCompletableFuture().get();
        output.println("stand-in " + kind + " " + name + " listens on port " + port);
        new CountDownLatch(1).await();
        return ExitCode.DONE;
    }

    /**
     * Starts the stand-in.
     *
     * @param vertx the Vert.x instance that runs the stand-in
     * @return the bound port
     */
    private Future<Integer> start(Vertx vertx) {
        Endpoint endpoint = OperatorOptions.parseEndpoint(listenAddress);
        return switch (kind) {
            case "engine" -> new ModelEngine(vertx, engineOptions(endpoint)).start();
            case "service" -> new PlainService(vertx, serviceOptions(endpoint)).start();
            case "store" -> new WeightStore(vertx, storeOptions(endpoint)).start();
            default ->
                throw new CommandFailure(ExitCode.USAGE, "expected engine, service or store instead of '" + kind + "'");
        };
    }

    /**
     * Returns the options of a model engine with one accelerator. Each adapter requires a hundredth of the memory of a
     * model.
     *
     * @param endpoint the address to listen on
     * @return the options
     */
    private EngineOptions engineOptions(Endpoint endpoint) {
        List<LoadedModel> preloaded =
                preloadedModels.stream().map(StandInCommand::parseLoadedModel).toList();
        EngineMemory memory = new EngineMemory(
                List.of(new Accelerator("0", memoryBytes)),
                java.util.Map.of(),
                modelMemoryBytes,
                modelMemoryBytes / 100,
                preloaded);
        return EngineOptions.named(name, zone)
                .withAddress(endpoint.host(), endpoint.port())
                .withAnnouncements(announcing())
                .withTiming(EngineTiming.FAST.withTokenMillis(tokenMillis).withOutputTokens(outputTokens))
                .withMemory(memory)
                .withChecksFencing(!ignoreFencing)
                .withWeightStore(weightStoreAddress);
    }

    /**
     * Parses a model that is loaded at startup on the only accelerator.
     *
     * @param text the text, in the form {@code MODEL/VERSION}
     * @return the loaded model
     */
    private static LoadedModel parseLoadedModel(String text) {
        int slash = text.lastIndexOf('/');
        if (slash < 1) {
            throw new CommandFailure(ExitCode.USAGE, "expected MODEL/VERSION instead of '" + text + "'");
        }
        return new LoadedModel(text.substring(0, slash), text.substring(slash + 1), "0", Set.of());
    }

    /**
     * Returns the options of a plain service.
     *
     * @param endpoint the address to listen on
     * @return the options
     */
    private ServiceOptions serviceOptions(Endpoint endpoint) {
        return ServiceOptions.named(name, zone, name)
                .withAddress(endpoint.host(), endpoint.port())
                .withAnnouncements(announcing());
    }

    /**
     * Returns the options of a weight store with the default timing.
     *
     * @param endpoint the address to listen on
     * @return the options
     */
    private static WeightStoreOptions storeOptions(Endpoint endpoint) {
        WeightStoreOptions local = WeightStoreOptions.LOCAL;
        return new WeightStoreOptions(
                endpoint.host(),
                endpoint.port(),
                local.loadsPerSecond(),
                local.fullSpeedModels(),
                local.fullSpeedAdapters(),
                local.modelMillis(),
                local.adapterMillis());
    }

    /**
     * Returns the VMs to which the stand-in announces itself, with the credential for this.
     *
     * @return the targets, {@link AnnouncementSettings#DISABLED} if none are given
     */
    private AnnouncementSettings announcing() {
        if (announceAddresses.isEmpty()) {
            return AnnouncementSettings.DISABLED;
        }
        try {
            String credential = Files.readString(Path.of(credentialFile)).strip();
            return new AnnouncementSettings(announceAddresses, credential, ANNOUNCE_INTERVAL_MILLIS);
        } catch (IOException exception) {
            throw new CommandFailure(ExitCode.USAGE, "cannot read the credential file " + credentialFile);
        }
    }
}
