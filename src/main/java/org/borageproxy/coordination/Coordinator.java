package org.borageproxy.coordination;

import java.time.Duration;
import java.util.ArrayList;
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
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.borageproxy.wire.proto.CoordinationProtocol.ModelDemand;
import org.borageproxy.wire.proto.CoordinationProtocol.RateShare;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;
import org.borageproxy.wire.proto.CoordinationProtocol.WorkspaceUsage;

/**
 * Answers the entries' reports on the leader of the control group. What it knows is soft: it begins anew with each
 * term, from the entries' reports. Guarded by its own lock; callbacks are made outside it.
 */
public final class Coordinator implements VmNetwork.Handler {

    /** How long an entry's report counts. */
    private static final Duration REPORT_VALIDITY = Duration.ofMillis(1500);

    private final GroupMember member;
    private final MonotonicClock clock;
    private final Supplier<Map<String, PublishedWorkspace>> workspaces;
    private final Supplier<List<VmName>> entries;
    private final Placement placement;
    private final BiConsumer<VmName, UsageReport> reported;
    private final Map<VmName, Reported> reports = new HashMap<>();
    private final Map<String, RateSplitter> splitters = new HashMap<>();
    private long term = -1;

    private record Reported(UsageReport report, Deadline countsUntil) {}

    /** What the coordinator tells and asks about models. */
    public interface Placement {

        /**
         * Takes an entry's demand.
         *
         * @param entry the entry
         * @param demands what was asked for since its last report
         */
        void recordDemand(VmName entry, List<ModelDemand> demands);

        /**
         * Returns what servers hold.
         *
         * @return the models by server name
         */
        Map<String, ModelInventory> inventories();

        /**
         * Returns the version of what servers hold.
         *
         * @return a number that changes with each change
         */
        long inventoryVersion();
    }

    /**
     * Creates a coordinator.
     *
     * @param member this VM's member of the control group
     * @param clock the clock
     * @param workspaces the published workspaces
     * @param entries the registered VMs
     * @param placement knows and orders models
     * @param reported takes each report
     */
    public Coordinator(
            GroupMember member,
            MonotonicClock clock,
            Supplier<Map<String, PublishedWorkspace>> workspaces,
            Supplier<List<VmName>> entries,
            Placement placement,
            BiConsumer<VmName, UsageReport> reported) {
        this.member = member;
        this.clock = clock;
        this.workspaces = workspaces;
        this.entries = entries;
        this.placement = placement;
        this.reported = reported;
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
        CoordinationUpdate.Builder update = answer(sender, report);
        placement.recordDemand(sender, report.getDemandsList());
        reported.accept(sender, report);
        update.setContentsVersion(placement.inventoryVersion());
        if (report.getContentsVersion() != placement.inventoryVersion()) {
            placement.inventories().forEach((name, held) -> update.addContents(held.encode(name)));
        }
        return CompletableFuture.completedFuture(update.build().toByteString());
    }

    private synchronized CoordinationUpdate.Builder answer(VmName sender, UsageReport report) {
        long nowNanos = clock.nanoTime();
        beginTerm();
        reports.values().removeIf(reported -> reported.countsUntil().hasPassed(nowNanos));
        reports.put(sender, new Reported(report, Deadline.after(nowNanos, REPORT_VALIDITY)));
        CoordinationUpdate.Builder update = CoordinationUpdate.newBuilder()
                .setCoordinates(true)
                .setEntries(reports.size())
                .addAllServers(usageOfOthers(sender));
        Map<String, WorkspaceUsage> usages = new HashMap<>();
        report.getWorkspacesList().forEach(usage -> usages.put(usage.getName(), usage));
        splitters.keySet().retainAll(workspaces.get().keySet());
        for (PublishedWorkspace workspace : workspaces.get().values()) {
            if (workspace.isLimited()) {
                RateSplitter splitter = splitter(workspace, nowNanos);
                Optional.ofNullable(usages.get(workspace.name()))
                        .ifPresentOrElse(
                                usage -> update.addShares(share(sender, usage, splitter, nowNanos)),
                                () -> splitter.recordNoUsage(sender, nowNanos));
            }
        }
        return update;
    }

    private void beginTerm() {
        long current = member.status().term();
        if (current != term) {
            term = current;
            reports.clear();
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

    // Splitters begin with the term, so that they know by the first request which tokens were saved since.
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
        List<VmName> known = entries.get();
        known.forEach(entry -> splitter.assumeShare(entry, limit.rate() / (double) known.size(), nowNanos));
        return splitter;
    }

    private List<ServerUsage> usageOfOthers(VmName sender) {
        Map<String, ServerUsage> sums = new HashMap<>();
        reports.forEach((entry, reported) -> {
            if (!entry.equals(sender)) {
                reported.report()
                        .getServersList()
                        .forEach(usage -> sums.merge(usage.getName(), usage, ServerUsages::sum));
            }
        });
        return new ArrayList<>(sums.values());
    }
}
