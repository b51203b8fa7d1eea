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
import org.borageproxy.control.ClaimStoreForControlGroup;
import org.borageproxy.control.ControlClient;
import org.borageproxy.control.CrashRegistryForControlGroup;
import org.borageproxy.control.LeaseStoreForControlGroup;
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
import org.borageproxy.spread.SpreadState;
import org.borageproxy.spread.StateReader;
import org.borageproxy.time.Deadline;

/**
 * One VM with all its roles. Parts start from the ground up and stop from the top down, so that a request in flight
 * always finds what it needs. Safe for use by any thread; started and shut down once.
 */
public final class VmProcess {

    /** The number of shards of the workspaces' rates, equal on every VM. */
    private static final int QUOTA_SHARDS = 16;
    /** The time allowed to hand duties and credit back. */
    private static final Duration HAND_BACK_TIME = Duration.ofSeconds(4);
    /** The time allowed to each start of a server. */
    private static final Duration START_TIME = Duration.ofSeconds(20);

    /** What the roles stand on. */
    private final VmFoundation foundation;
    /** Submits commands to the control group. */
    private final ControlClient client;
    /** Follows the state of the control group. */
    private final SpreadState spread;
    /** The part in the control group. */
    private final Optional<ControlRole> control;
    /** The backend servers. */
    private final BackendServerMembership membership;
    /** The rates of workspaces. */
    private final FleetQuota quota;
    /** The part in placement. */
    private final PlacementRole placement;
    /** The queues before the backend servers. */
    private final FairDispatchQueue queue;
    /** The callers' interface, on an entry. */
    private volatile Optional<EntryServer> entry = Optional.empty();
    /** The operators' interface. */
    private OperatorServer operators;
    /** Whether the shutdown has begun. */
    private final AtomicBoolean stopping = new AtomicBoolean();
    /** Completes when the shutdown has ended. */
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    /**
     * Creates the parts below the servers.
     *
     * @param settings the settings of the process
     * @throws IOException if the durable state is missing or damaged
     */
    private VmProcess(ProcessSettings settings) throws IOException {
        foundation = VmFoundation.of(settings);
        client = new ControlClient(
                foundation.self(),
                foundation.network(),
                foundation::controlVms,
                foundation.clock(),
                foundation.timer());
        spread = new SpreadState(
                settings.vm(),
                foundation.network(),
                foundation::controlVms,
                foundation.clock(),
                foundation.timer(),
                foundation.timeLine());
        spread.subscribeVms(foundation.directory()::update);
        control = ControlRole.start(foundation, client);
        control.ifPresent(role -> role.onFailure(this::shutDown));
        Credentials credentials = settings.credentials();
        Endpoint announcements = settings.announcements();
        membership = new BackendServerMembership(
                foundation.vertx(),
                new AnnounceSettings(announcements.host(), announcements.port(), credentials.announcer()),
                foundation.network(),
                () -> foundation.directory().namesWithout(foundation.self()),
                foundation.clock(),
                foundation.timeLine());
        LeaseStore leases = new LeaseStoreForControlGroup(client, spread::holder);
        placement = new PlacementRole(foundation, client, leases, spread, membership.registry());
        quota = FleetQuota.start(quotaEnvironment(leases));
        queue = new FairDispatchQueue(
                new PoolCapacity(
                        membership.registry(), () -> entry.orElseThrow().serverTable()),
                foundation.clock(),
                foundation.timers());
    }

    /**
     * Starts a VM.
     *
     * @param settings the settings of the process
     * @return the running VM
     * @throws Exception if a part cannot start
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

    /**
     * Starts the servers.
     *
     * @throws Exception if a port cannot be opened
     */
    private void listen() throws Exception {
        ProcessSettings settings = foundation.settings();
        foundation.network().listen(settings.vm().host(), settings.vm().port());
        spread.start();
        await(membership.start().toCompletionStage());
        if (settings.callers().isPresent()) {
            EntryServer server = new EntryServer(
                    entryDependencies(), entrySettings(settings.callers().get()));
            entry = Optional.of(server);
            await(server.start().toCompletionStage());
        }
        operators = new OperatorServer(
                foundation.vertx(),
                settings.operators().host(),
                settings.operators().port(),
                settings.credentials().operator(),
                operatorRoutes());
        await(operators.start());
        foundation
                .timeLine()
                .record(Event.named("vm-started").with("zone", settings.vm().zone()));
    }

    /**
     * Waits for a part to start.
     *
     * @param start completes when the part has started
     * @throws Exception if it has not
     */
    private static void await(CompletionStage<?> start) throws Exception {
        start.toCompletableFuture().get(START_TIME.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Shuts the VM down gracefully; a second call has no effect of its own.
     *
     * @return completes when the shutdown has ended
     */
    public CompletionStage<Void> shutDown() {
        if (!stopping.compareAndSet(false, true)) {
            return stopped;
        }
        foundation.timeLine().record(Event.named("vm-stopping"));
        long limitMillis = foundation.settings().shutdown().limitMillis();
        Deadline deadline = Deadline.after(foundation.clock().nanoTime(), Duration.ofMillis(limitMillis));
        drainEntry(deadline).thenCompose(drained -> handBack()).whenComplete((done, failure) -> closeRest());
        return stopped;
    }

    /**
     * Returns the stage that completes when the shutdown has ended.
     *
     * @return the stage
     */
    public CompletionStage<Void> stopped() {
        return stopped;
    }

    /**
     * Ends the callers' interface.
     *
     * @param deadline when running requests are cut
     * @return completes when no request is in flight
     */
    private CompletionStage<Void> drainEntry(Deadline deadline) {
        return entry.map(server -> server.drain(deadline).toCompletionStage())
                .orElse(CompletableFuture.completedFuture(null));
    }

    /**
     * Gives credit and duties back.
     *
     * @return completes when all is given back or the time for it is over
     */
    private CompletionStage<Void> handBack() {
        queue.close();
        placement.close();
        return quota.closeAsync()
                .toCompletableFuture()
                .completeOnTimeout(null, HAND_BACK_TIME.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Closes what is left, the durable state last. */
    private void closeRest() {
        new Thread(
                        () -> {
                            spread.stop();
                            membership.close();
                            control.ifPresent(ControlRole::close);
                            foundation.timeLine().record(Event.named("vm-stopped"));
                            foundation.close();
                            stopped.complete(null);
                        },
                        "shutdown")
                .start();
    }

    /**
     * Returns what the callers' interface needs.
     *
     * @return the dependencies
     */
    private EntryDependencies entryDependencies() {
        return new EntryDependencies(
                foundation.vertx(),
                foundation.clock(),
                spread,
                membership.registry(),
                quota,
                queue,
                new ClaimStoreForControlGroup(client),
                new CrashRegistryForControlGroup(client, spread::suspicion),
                placement.demandMeter(),
                foundation.timeLine(),
                foundation.metrics(),
                foundation.metrics()::scrape);
    }

    /**
     * Returns the settings of the callers' interface.
     *
     * @param callers where callers connect
     * @return the settings
     */
    private EntrySettings entrySettings(Endpoint callers) {
        ProcessSettings settings = foundation.settings();
        return EntrySettings.of(foundation.self(), settings.vm().zone(), callers.host(), callers.port())
                .withDrainNoticePeriod(Duration.ofMillis(settings.shutdown().noticeMillis()));
    }

    /**
     * Returns what the rates of workspaces need.
     *
     * @param leases the leased duties
     * @return the environment
     */
    private QuotaEnvironment quotaEnvironment(LeaseStore leases) {
        return new QuotaEnvironment(
                foundation.self(),
                UUID.randomUUID().toString(),
                () -> foundation.directory().namesWithout(foundation.self()),
                foundation.network(),
                leases,
                spread,
                foundation.clock(),
                foundation.timers(),
                foundation.timeLine(),
                QUOTA_SHARDS,
                true,
                QuotaSettings.DEFAULT);
    }

    /**
     * Returns the routes of the operators' interface.
     *
     * @return the routes
     */
    private List<OperatorRoute> operatorRoutes() {
        StateReader reader = new StateReader(foundation.network(), foundation::controlVms, foundation.clock());
        FleetTimeLine timeLine = new FleetTimeLine(
                foundation.timeLine(), foundation.network(), foundation.directory()::names, foundation.clock());
        MembersClient members = new MembersClient(foundation.network(), foundation.controlVms(), foundation.clock());
        List<OperatorRoute> routes = new ArrayList<>(OperatorRoutes.of(
                client, reader, spread, foundation.timer(), PlacementRole.fitCheck(membership.registry())));
        routes.addAll(new OperatorExtras(timeLine, members, this::shutDown).routes());
        return routes;
    }
}
