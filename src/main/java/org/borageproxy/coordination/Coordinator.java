package org.borageproxy.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.log.GroupMember;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.quota.RateSplitter;
import org.borageproxy.saturation.Withdrawals;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.borageproxy.wire.proto.CoordinationProtocol.ModelDemand;
import org.borageproxy.wire.proto.CoordinationProtocol.RateShare;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;
import org.borageproxy.wire.proto.CoordinationProtocol.StatedLimits;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;
import org.borageproxy.wire.proto.CoordinationProtocol.WorkspaceUsage;

/**
 * Answers the entries' usage reports on the leader of the control group. Holds soft state only: it is discarded when
 * the term changes and rebuilt from the entries' reports. Thread safe; guarded by its own lock, and callbacks run
 * outside the lock.
 */
public final class Coordinator implements VmNetwork.Handler {

    /** Period for which a report counts; an entry without a later report is left out of the totals. */
    private static final Duration REPORT_VALIDITY = Duration.ofMillis(1500);
    /** Interval at which an entry receives the load on model engines, which it uses only without a coordinator. */
    private static final Duration ENGINE_USAGE_INTERVAL = Duration.ofMillis(500);
    /** Number of entries that an entry is told as ways to the backend servers. */
    private static final int MAX_RELAYS = 3;

    private final GroupMember member;
    private final MonotonicClock clock;
    private final Supplier<Map<String, PublishedWorkspace>> workspaces;
    private final Supplier<List<VmName>> entries;
    private final Placement placement;
    private final BiConsumer<VmName, UsageReport> reportListener;
    private final Limits limits;
    private final SpeedCoordinator speeds;
    private final Map<VmName, ReceivedReport> reports = new HashMap<>();
    private final ServerUsageTotals usage = new ServerUsageTotals();
    private final Map<String, RateSplitter> splitters = new HashMap<>();
    private final Withdrawals withdrawals = new Withdrawals();
    private long term = -1;

    private record ReceivedReport(UsageReport report, Deadline expiresAt, Deadline nextEngineUsageAt) {}

    /** Model demand and loaded models, as the coordinator exchanges them with the placement. */
    public interface Placement {

        /**
         * Records the demand that an entry observed.
         *
         * @param entry the reporting entry
         * @param demands the demand since the entry's previous report
         */
        void recordDemand(VmName entry, List<ModelDemand> demands);

        /**
         * Returns the loaded models of all servers.
         *
         * @return the inventories by server name
         */
        Map<String, ModelInventory> inventories();

        /**
         * Returns the version of the inventories. Entries that report another version receive all inventories.
         *
         * @return a number that changes with every change of an inventory
         */
        long inventoryVersion();
    }

    /** What the backend servers state about their capacity. */
    public interface Limits {

        /**
         * Returns the stated limits of all servers.
         *
         * @return the limits with their ages
         */
        List<StatedLimits> all();

        /**
         * Returns the version of the limits. Entries that report another version receive all limits.
         *
         * @return a number that changes with every change of a limit
         */
        long version();
    }

    /**
     * Creates a coordinator.
     *
     * @param member this VM's member of the control group
     * @param clock the clock
     * @param workspaces supplies the published workspaces by name
     * @param entries supplies the registered VMs
     * @param placement receives model demand and supplies the inventories
     * @param reportListener receives each report
     * @param limits what the backend servers state about their capacity
     * @param speeds learns the speeds of the backend servers
     */
    public Coordinator(
            GroupMember member,
            MonotonicClock clock,
            Supplier<Map<String, PublishedWorkspace>> workspaces,
            Supplier<List<VmName>> entries,
            Placement placement,
            BiConsumer<VmName, UsageReport> reportListener,
            Limits limits,
            SpeedCoordinator speeds) {
        this.member = member;
        this.clock = clock;
        this.workspaces = workspaces;
        this.entries = entries;
        this.placement = placement;
        this.reportListener = reportListener;
        this.limits = limits;
        this.speeds = speeds;
    }

    @Override
    public CompletionStage<ByteString> handle(VmName sender, ByteString body) {
        UsageReport report;
        try {
            report = UsageReport.parseFrom(body);
        } catch (InvalidProtocolBufferException exception) {
            return CompletableFuture.failedFuture(exception);
        }
        if (!member.isLeader()) {
            String leader = member.leader().map(VmName::value).orElse("");
            CoordinationUpdate hint =
                    CoordinationUpdate.newBuilder().setCoordinator(leader).build();
            return CompletableFuture.completedFuture(hint.toByteString());
        }
        CoordinationUpdate.Builder update = buildUpdate(sender, report);
        placement.recordDemand(sender, report.getDemandsList());
        reportListener.accept(sender, report);
        speeds.exchange(report, update);
        update.setWithdraws(isWithdrawn(sender, report, update));
        update.setContentsVersion(placement.inventoryVersion());
        if (report.getContentsVersion() != placement.inventoryVersion()) {
            InventoryProgress.addContents(report, placement.inventories(), update);
        }
        // The term makes the versions of two coordinators differ.
        long limitsVersion = (update.getTerm() << Integer.SIZE) + limits.version();
        update.setLimitsVersion(limitsVersion);
        if (report.getLimitsVersion() != limitsVersion) {
            update.addAllStatedLimits(limits.all());
        }
        return CompletableFuture.completedFuture(update.build().toByteString());
    }

    private synchronized boolean isWithdrawn(VmName sender, UsageReport report, CoordinationUpdate.Builder update) {
        Withdrawals.Decision decision = withdrawals.decide(
                sender, report.getSaturated(), update.getEntries(), update.getTerm(), clock.nanoTime());
        return decision == Withdrawals.Decision.WITHDRAWN;
    }

    /**
     * Returns the number of entries that are withdrawn from the load balancer.
     *
     * @return the number; zero on a VM that is not the coordinator
     */
    public synchronized int withdrawnCount() {
        return withdrawals.count(clock.nanoTime());
    }

    private synchronized CoordinationUpdate.Builder buildUpdate(VmName sender, UsageReport report) {
        long nowNanos = clock.nanoTime();
        resetOnNewTerm();
        removeExpiredReports(nowNanos);
        Optional<ReceivedReport> previous = Optional.ofNullable(reports.get(sender));
        previous.ifPresent(received -> usage.remove(received.report().getServersList()));
        boolean hasEngineUsage = previous.map(
                        received -> received.nextEngineUsageAt().hasPassed(nowNanos))
                .orElse(true);
        CoordinationUpdate.Builder update =
                CoordinationUpdate.newBuilder().setCoordinates(true).setAllServers(hasEngineUsage);
        for (ServerUsage others : usage.latest()) {
            boolean isPlainService = others.getHeldTokens() == 0;
            if (hasEngineUsage || isPlainService) {
                update.addServers(others);
            }
        }
        usage.add(report.getServersList());
        Deadline nextEngineUsageAt = hasEngineUsage
                ? Deadline.after(nowNanos, ENGINE_USAGE_INTERVAL)
                : previous.get().nextEngineUsageAt();
        reports.put(sender, new ReceivedReport(report, Deadline.after(nowNanos, REPORT_VALIDITY), nextEngineUsageAt));
        update.setEntries(reports.size()).setTerm(term);
        if (hasEngineUsage) {
            update.addAllRelays(relaysFor(sender));
        }
        Map<String, WorkspaceUsage> usageByWorkspace = new HashMap<>();
        report.getWorkspacesList().forEach(usage -> usageByWorkspace.put(usage.getName(), usage));
        splitters.keySet().retainAll(workspaces.get().keySet());
        for (PublishedWorkspace workspace : workspaces.get().values()) {
            if (workspace.isLimited()) {
                RateSplitter splitter = splitter(workspace, nowNanos);
                Optional.ofNullable(usageByWorkspace.get(workspace.name()))
                        .ifPresentOrElse(
                                usage -> update.addShares(share(sender, usage, splitter, nowNanos)),
                                () -> splitter.recordNoUsage(sender, nowNanos));
            }
        }
        return update;
    }

    private List<String> relaysFor(VmName sender) {
        List<String> relays = new ArrayList<>();
        reports.forEach((entry, received) -> {
            if (received.report().getRelays() && !entry.equals(sender)) {
                relays.add(entry.value());
            }
        });
        Collections.shuffle(relays);
        return relays.subList(0, Math.min(MAX_RELAYS, relays.size()));
    }

    private void removeExpiredReports(long nowNanos) {
        reports.values().removeIf(received -> {
            boolean isExpired = received.expiresAt().hasPassed(nowNanos);
            if (isExpired) {
                usage.remove(received.report().getServersList());
            }
            return isExpired;
        });
    }

    private void resetOnNewTerm() {
        long currentTerm = member.status().term();
        if (currentTerm != term) {
            term = currentTerm;
            reports.clear();
            usage.clear();
            splitters.clear();
        }
    }

    private static RateShare share(VmName sender, WorkspaceUsage usage, RateSplitter splitter, long nowNanos) {
        RateSplitter.Report report = new RateSplitter.Report(
                usage.getDemand(), usage.getHeld(), usage.getSpent(), usage.getReturned(), usage.getNeedsList());
        RateSplitter.Allocation part = splitter.handleReport(sender, report, nowNanos);
        return RateShare.newBuilder()
                .setWorkspace(usage.getName())
                .setRate(part.rate())
                .setGranted(part.granted())
                .build();
    }

    // Splitters are created at the first report of a term, so that by the first request they account for the tokens
    // accrued since.
    private RateSplitter splitter(PublishedWorkspace workspace, long nowNanos) {
        RateSplitter.Limit limit = new RateSplitter.Limit(workspace.rate(), workspace.burst());
        RateSplitter splitter = splitters.computeIfAbsent(workspace.name(), name -> newSplitter(limit, nowNanos));
        if (!splitter.limit().equals(limit)) {
            splitter.changeLimit(limit, nowNanos);
        }
        return splitter;
    }

    private RateSplitter newSplitter(RateSplitter.Limit limit, long nowNanos) {
        RateSplitter splitter = new RateSplitter(limit, nowNanos);
        List<VmName> registered = entries.get();
        registered.forEach(entry -> splitter.assumeShare(entry, limit.rate() / (double) registered.size(), nowNanos));
        return splitter;
    }
}
