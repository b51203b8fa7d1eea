package org.borageproxy.server;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.borageproxy.admission.FairDispatchQueue;
import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlGroupClaimStore;
import org.borageproxy.control.ControlGroupCrashRegistry;
import org.borageproxy.control.ControlGroupLeaseStore;
import org.borageproxy.entry.EntryDependencies;
import org.borageproxy.entry.EntryServer;
import org.borageproxy.entry.EntrySettings;
import org.borageproxy.event.Event;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.membership.AnnounceSettings;
import org.borageproxy.membership.BackendServerMembership;
import org.borageproxy.operator.OperatorRoute;
import org.borageproxy.operator.OperatorRoutes;
import org.borageproxy.operator.OperatorServer;
import org.borageproxy.quota.FleetQuota;
import org.borageproxy.quota.QuotaEnvironment;
import org.borageproxy.quota.QuotaSettings;
import org.borageproxy.routing.PoolCapacity;
import org.borageproxy.settings.Credentials;
import org.borageproxy.settings.Endpoint;
import org.borageproxy.settings.ProcessSettings;
import org.borageproxy.spread.ControlStateWatcher;
import org.borageproxy.spread.StateReader;
import org.borageproxy.time.Deadline;

/**
 * One VM with all its roles. Components start before the components that depend on them and stop after them, so that
 * requests in flight can complete during a shutdown. Thread safe; started and shut down once.
 */
public final class VmProcess {

    /** Must be equal on every VM. */
    private static final int QUOTA_SHARD_COUNT = 16;

    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);

    private final VmRuntime runtime;
    private final ControlClient client;
    private final ControlStateWatcher spread;
    private final Optional<ControlRole> control;
    private final BackendServerMembership membership;
    private final FleetQuota quota;
    private final PlacementRole placement;
    private final FairDispatchQueue dispatchQueue;
    private volatile Optional<EntryServer> entry = Optional.empty();
    private OperatorServer operators;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private VmProcess(ProcessSettings settings) throws IOException {
        runtime = VmRuntime.of(settings);
        control = ControlRole.open(runtime);
        client = new ControlClient(
                runtime.self(),
                runtime.network(),
                runtime::controlVms,
                runtime.clock(),
                runtime.timer(),
                () -> control.flatMap(ControlRole::leader));
        spread = new ControlStateWatcher(
                settings.vm(),
                runtime.network(),
                runtime::controlVms,
                runtime.clock(),
                runtime.timer(),
                runtime.timeLine());
        spread.subscribeVms(runtime.directory()::updateRegistered);
        control.ifPresent(role -> role.start(client));
        control.ifPresent(role -> role.onFailure(this::shutDown));
        Credentials credentials = settings.credentials();
        Endpoint announcements = settings.announcementEndpoint();
        membership = new BackendServerMembership(
                runtime.vertx(),
                new AnnounceSettings(announcements.host(), announcements.port(), credentials.announcer()),
                runtime.network(),
                () -> runtime.directory().namesWithout(runtime.self()),
                runtime.clock(),
                runtime.timeLine());
        LeaseStore leases = new ControlGroupLeaseStore(client, spread::lastKnownLease);
        placement = new PlacementRole(runtime, client, leases, spread, membership.registry());
        quota = FleetQuota.start(quotaEnvironment(leases));
        dispatchQueue = new FairDispatchQueue(
                new PoolCapacity(
                        membership.registry(), () -> entry.orElseThrow().serverTable()),
                runtime.clock(),
                runtime.scheduler());
    }

    /**
     * Starts a VM. Blocks until all servers listen; if one of them cannot start, shuts the VM down.
     *
     * @param settings the settings of the process
     * @return the running VM
     * @throws Exception if the durable state cannot be opened or a server cannot start
     */
    public static VmProcess start(ProcessSettings settings) throws Exception {
        VmProcess process = new VmProcess(settings);
        try {
            process.listen();
        } catch (Exception exception) {
            process.shutDown();
            throw exception;
        }
        return process;
    }

    private void listen() throws Exception {
        ProcessSettings settings = runtime.settings();
        runtime.network().listen(settings.vm().host(), settings.vm().port());
        spread.start();
        await(membership.start().toCompletionStage());
        if (settings.callerEndpoint().isPresent()) {
            EntryServer server = new EntryServer(
                    entryDependencies(), entrySettings(settings.callerEndpoint().get()));
            entry = Optional.of(server);
            await(server.start().toCompletionStage());
        }
        operators = new OperatorServer(
                runtime.vertx(),
                settings.operatorEndpoint().host(),
                settings.operatorEndpoint().port(),
                settings.credentials().operator(),
                operatorRoutes());
        await(operators.start());
        runtime.timeLine()
                .record(Event.named("vm-started").with("zone", settings.vm().zone()));
    }

    private static void await(CompletionStage<?> start) throws Exception {
        start.toCompletableFuture().get(START_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Shuts the VM down: drains requests in flight, returns credit and leases, and closes the durable state. Does not
     * block. Further calls have no effect.
     *
     * @return completes when the shutdown has ended
     */
    public CompletionStage<Void> shutDown() {
        if (!stopping.compareAndSet(false, true)) {
            return stopped;
        }
        runtime.timeLine().record(Event.named("vm-stopping"));
        long limitMillis = runtime.settings().shutdown().timeoutMillis();
        Deadline deadline = Deadline.after(runtime.clock().nanoTime(), Duration.ofMillis(limitMillis));
        drainEntry(deadline)
                .thenCompose(drained -> releaseCreditAndDuties())
                .whenComplete((done, failure) -> closeRemaining());
        return stopped;
    }

    /**
     * Returns a stage that completes when a shutdown has ended.
     *
     * @return the same stage for each call
     */
    public CompletionStage<Void> stopped() {
        return stopped;
    }

    private CompletionStage<Void> drainEntry(Deadline deadline) {
        return entry.map(server -> server.drain(deadline).toCompletionStage())
                .orElse(CompletableFuture.completedFuture(null));
    }

    private CompletionStage<Void> releaseCreditAndDuties() {
        dispatchQueue.close();
        placement.close();
        return quota.closeAsync()
                .toCompletableFuture()
                .completeOnTimeout(null, RELEASE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Runs on a thread of its own. The durable state is closed last, before the shared resources of the VM. */
    private void closeRemaining() {
        new Thread(
                        () -> {
                            spread.stop();
                            membership.close();
                            control.ifPresent(ControlRole::close);
                            runtime.timeLine().record(Event.named("vm-stopped"));
                            runtime.close();
                            stopped.complete(null);
                        },
                        "shutdown")
                .start();
    }

    private EntryDependencies entryDependencies() {
        return new EntryDependencies(
                runtime.vertx(),
                runtime.clock(),
                spread,
                membership.registry(),
                quota,
                dispatchQueue,
                new ControlGroupClaimStore(client),
                new ControlGroupCrashRegistry(
                        client, fingerprint -> spread.suspicions().of(fingerprint)),
                placement.demandMeter(),
                runtime.timeLine(),
                runtime.metrics(),
                runtime.metrics()::scrape);
    }

    private EntrySettings entrySettings(Endpoint callers) {
        ProcessSettings settings = runtime.settings();
        return EntrySettings.of(runtime.self(), settings.vm().zone(), callers.host(), callers.port())
                .withDrainNoticePeriod(Duration.ofMillis(settings.shutdown().noticePeriodMillis()));
    }

    private QuotaEnvironment quotaEnvironment(LeaseStore leases) {
        return new QuotaEnvironment(
                runtime.self(),
                UUID.randomUUID().toString(),
                () -> runtime.directory().namesWithout(runtime.self()),
                runtime.network(),
                leases,
                spread,
                runtime.clock(),
                runtime.scheduler(),
                runtime.timeLine(),
                QUOTA_SHARD_COUNT,
                true,
                QuotaSettings.DEFAULT);
    }

    private List<OperatorRoute> operatorRoutes() {
        StateReader reader = new StateReader(runtime.network(), runtime::controlVms, runtime.clock(), runtime.timer());
        FleetTimeLine timeLine =
                new FleetTimeLine(runtime.timeLine(), runtime.network(), runtime.directory()::names, runtime.clock());
        MembersClient members = new MembersClient(runtime.network(), runtime.controlVms(), runtime.clock());
        List<OperatorRoute> routes = new ArrayList<>(OperatorRoutes.of(
                client, reader, spread, runtime.timer(), PlacementRole.fitCheck(membership.registry())));
        routes.addAll(new MaintenanceRoutes(timeLine, members, this::shutDown).routes());
        return routes;
    }
}
