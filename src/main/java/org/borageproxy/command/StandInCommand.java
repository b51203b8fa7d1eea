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
import org.borageproxy.standin.Announcing;
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

/** Runs a stand-in backend server or weight store until the process ends. Used by one thread. */
final class StandInCommand implements Command {

    /** The time between two announcements in milliseconds. */
    private static final long ANNOUNCE_MILLIS = 250;

    /** What to run. */
    @Argument(required = true, metaVar = "engine|service|store", usage = "what to run")
    private String kind;

    /** The backend server's name. */
    @Option(name = "--name", metaVar = "NAME", usage = "name of the backend server; names the plain service too")
    private String name = "stand-in";

    /** The availability zone. */
    @Option(name = "--zone", metaVar = "ZONE", usage = "availability zone")
    private String zone = "zone-a";

    /** Where to listen. */
    @Option(name = "--listen", required = true, metaVar = "HOST:PORT", usage = "where to listen")
    private String listen;

    /** Where to announce. */
    @Option(name = "--announce", metaVar = "HOST:PORT", usage = "announce port of a VM; give it again for others")
    private List<String> announce = new ArrayList<>();

    /** The file with the announcer's credential. */
    @Option(name = "--credential", metaVar = "FILE", usage = "file with the announcers' credential")
    private String credentialFile = "";

    /** The preloaded models. */
    @Option(name = "--model", metaVar = "MODEL/VERSION", usage = "model that is loaded at the start; may be repeated")
    private List<String> models = new ArrayList<>();

    /** The memory of the accelerator in bytes. */
    @Option(name = "--memory", metaVar = "BYTES", usage = "memory of the accelerator in bytes")
    private long memoryBytes = 80_000_000_000L;

    /** The memory that a model takes in bytes. */
    @Option(name = "--model-memory", metaVar = "BYTES", usage = "memory that each model takes in bytes")
    private long modelBytes = 16_000_000_000L;

    /** Whether old fencing numbers are accepted. */
    @Option(name = "--ignore-fencing", usage = "accept orders with an old fencing number")
    private boolean ignoreFencing;

    /** The time between two tokens in milliseconds. */
    @Option(name = "--token-millis", metaVar = "MILLIS", usage = "time between two tokens of a request")
    private long tokenMillis = 5;

    /** The length of an answer in tokens. */
    @Option(name = "--output-tokens", metaVar = "COUNT", usage = "length of an answer that no limit cuts short")
    private int outputTokens = 16;

    /** The weight store. */
    @Option(name = "--weight-store", metaVar = "HOST:PORT", usage = "weight store that models are fetched from")
    private String weightStore = "";

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
     * @param vertx runs the stand-in
     * @return the port
     */
    private Future<Integer> start(Vertx vertx) {
        Endpoint endpoint = OperatorOptions.endpoint(listen);
        return switch (kind) {
            case "engine" -> new ModelEngine(vertx, engine(endpoint)).start();
            case "service" -> new PlainService(vertx, service(endpoint)).start();
            case "store" -> new WeightStore(vertx, store(endpoint)).start();
            default ->
                throw new CommandFailure(ExitCode.USAGE, "expected engine, service or store instead of '" + kind + "'");
        };
    }

    /**
     * Returns the options of an engine.
     *
     * @param endpoint where to listen
     * @return the options
     */
    private EngineOptions engine(Endpoint endpoint) {
        List<LoadedModel> preloaded =
                models.stream().map(StandInCommand::loaded).toList();
        EngineMemory memory = new EngineMemory(
                List.of(new Accelerator("0", memoryBytes)),
                java.util.Map.of(),
                modelBytes,
                modelBytes / 100,
                preloaded);
        return EngineOptions.named(name, zone)
                .withAddress(endpoint.host(), endpoint.port())
                .withAnnouncing(announcing())
                .withTiming(EngineTiming.FAST.withTokenMillis(tokenMillis).withOutputTokens(outputTokens))
                .withMemory(memory)
                .withChecksFencing(!ignoreFencing)
                .withWeightStore(weightStore);
    }

    /**
     * Parses a preloaded model.
     *
     * @param text the model and the version
     * @return the loaded model
     */
    private static LoadedModel loaded(String text) {
        int slash = text.lastIndexOf('/');
        if (slash < 1) {
            throw new CommandFailure(ExitCode.USAGE, "expected MODEL/VERSION instead of '" + text + "'");
        }
        return new LoadedModel(text.substring(0, slash), text.substring(slash + 1), "0", Set.of());
    }

    /**
     * Returns the options of a plain service.
     *
     * @param endpoint where to listen
     * @return the options
     */
    private ServiceOptions service(Endpoint endpoint) {
        return ServiceOptions.named(name, zone, name)
                .withAddress(endpoint.host(), endpoint.port())
                .withAnnouncing(announcing());
    }

    /**
     * Returns the options of a weight store.
     *
     * @param endpoint where to listen
     * @return the options
     */
    private static WeightStoreOptions store(Endpoint endpoint) {
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
     * Returns where the stand-in announces itself.
     *
     * @return the targets with the credential
     */
    private Announcing announcing() {
        if (announce.isEmpty()) {
            return Announcing.NOWHERE;
        }
        try {
            String credential = Files.readString(Path.of(credentialFile)).strip();
            return new Announcing(announce, credential, ANNOUNCE_MILLIS);
        } catch (IOException exception) {
            throw new CommandFailure(ExitCode.USAGE, "cannot read the credential file " + credentialFile);
        }
    }
}
