package org.borageproxy.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.borageproxy.execution.Suspicion;
import org.borageproxy.wire.proto.ControlProtocol.ControlSnapshot;
import org.borageproxy.wire.proto.ControlProtocol.CrashReply;
import org.borageproxy.wire.proto.ControlProtocol.CrashState;
import org.borageproxy.wire.proto.ControlProtocol.Done;
import org.borageproxy.wire.proto.ControlProtocol.GrantTrial;
import org.borageproxy.wire.proto.ControlProtocol.Item;
import org.borageproxy.wire.proto.ControlProtocol.Missing;
import org.borageproxy.wire.proto.ControlProtocol.Reply;
import org.borageproxy.wire.proto.ControlProtocol.ReportCrash;
import org.borageproxy.wire.proto.ControlProtocol.TrialReply;
import org.borageproxy.wire.proto.ControlProtocol.VmRecord;

/**
 * Requests that were running when backend servers crashed. The first crash makes a request suspect. A further crash
 * quarantines it if it ran alone, if an earlier crash hit another backend server, or if it is the third; crashes that a
 * part of another prompt explains do not count. A successful response clears a request. Quarantined requests get trials
 * by a {@link TrialSchedule}. The parts of prompts of these requests are counted apart, in a {@link PartCrashTable}.
 *
 * <p>Members of the control group that run earlier builds neither grant trials nor end quarantines. So that all members
 * have the same state, neither takes effect until the records of all members say that they do both.
 *
 * <p>Guarded by the lock of {@link ControlState}.
 */
final class CrashTable {

    /** Duration of a suspicion after the last crash, in milliseconds. */
    static final long SUSPICION_MILLIS = 60L * 60 * 1000;

    /** Duration of a quarantine after the last crash, in milliseconds. */
    static final long QUARANTINE_MILLIS = 30L * 24 * 60 * 60 * 1000;

    /** Maximum number of requests in the table; the ones reported least recently are evicted. */
    private static final int MAX_REQUESTS = 20_000;

    /** Number of crashes that quarantine a request regardless of other requests on the same servers. */
    private static final int QUARANTINE_CRASH_COUNT = 3;

    /** Separates the name of a backend server from its incarnation. */
    private static final String SEPARATOR = "@";

    private final WatchedRecords records;
    private final PartCrashTable parts;

    /** Requests by fingerprint, least recently reported first. */
    private final LinkedHashMap<String, CrashState> crashes = new LinkedHashMap<>();

    /** Lower bound of all expiry times, in milliseconds since the epoch. */
    private long firstExpiryMillis = Long.MAX_VALUE;

    CrashTable(WatchedRecords records) {
        this.records = records;
        this.parts = new PartCrashTable(this::publish, this::withdraw);
    }

    /**
     * Records a crash and replies with the suspicion of the request. A crash of the same incarnation of a backend
     * server counts once per request.
     */
    Reply report(ReportCrash report, long stateMillis) {
        String crash = report.getServer() + SEPARATOR + report.getIncarnation();
        if (parts.report(report.getPartsList(), crash, stateMillis)) {
            reconsider(crash);
        }
        CrashState earlier = crashes.get(report.getFingerprint());
        if (earlier != null && earlier.getCrashesList().contains(crash)) {
            return reply(earlier);
        }
        CrashState.Builder state =
                earlier == null ? CrashState.newBuilder().setFingerprint(report.getFingerprint()) : earlier.toBuilder();
        state.addCrashes(crash);
        boolean isQuarantined = state.getQuarantined()
                || earlier != null && report.getAlone()
                || isQuarantineDue(state.getCrashesList());
        state.setQuarantined(isQuarantined);
        state.setExpiresAtMillis(stateMillis + (isQuarantined ? QUARANTINE_MILLIS : SUSPICION_MILLIS));
        crashes.remove(report.getFingerprint());
        crashes.put(report.getFingerprint(), state.build());
        firstExpiryMillis = Math.min(firstExpiryMillis, state.getExpiresAtMillis());
        publish(state.build());
        evictOldest();
        return reply(state.build());
    }

    /** Clears a request that has been answered, or a part of prompts with which one has. */
    void clear(String fingerprint) {
        if (parts.clear(fingerprint)) {
            return;
        }
        CrashState state = crashes.get(fingerprint);
        if (state != null && (!state.getQuarantined() || allMembersGrantTrials())) {
            remove(fingerprint);
        }
    }

    /** Grants a trial of all quarantined suspects of one request, or replies with the time until one is due. */
    Reply grantTrial(GrantTrial request, long stateMillis) {
        if (!allMembersGrantTrials()) {
            return missing();
        }
        List<TrialSchedule.Quarantined> suspects = request.getFingerprintsList().stream()
                .distinct()
                .map(this::quarantined)
                .flatMap(Optional::stream)
                .toList();
        long waitMillis = Math.max(0, TrialSchedule.dueAtMillis(suspects) - stateMillis);
        if (waitMillis == 0) {
            suspects.forEach(suspect -> recordTrial(suspect.state().getFingerprint(), stateMillis));
        }
        return Reply.newBuilder()
                .setTrial(TrialReply.newBuilder().setGranted(waitMillis == 0).setWaitMillis(waitMillis))
                .build();
    }

    private Optional<TrialSchedule.Quarantined> quarantined(String fingerprint) {
        return parts.quarantined(fingerprint).or(() -> Optional.ofNullable(crashes.get(fingerprint))
                .filter(CrashState::getQuarantined)
                .map(state -> new TrialSchedule.Quarantined(state, state.getExpiresAtMillis() - QUARANTINE_MILLIS)));
    }

    private void recordTrial(String fingerprint, long stateMillis) {
        parts.recordTrial(fingerprint, stateMillis);
        crashes.computeIfPresent(fingerprint, (key, state) -> TrialSchedule.withTrial(state, stateMillis));
    }

    /** Records that requests with a part of prompts had succeeded at a VM shortly before its crashes. */
    Reply vouch(String fingerprint, long stateMillis) {
        if (!allMembersGrantTrials()) {
            return missing();
        }
        parts.vouch(fingerprint, stateMillis);
        return Reply.newBuilder().setDone(Done.getDefaultInstance()).build();
    }

    private boolean allMembersGrantTrials() {
        List<VmRecord> members = records.all().stream()
                .filter(Item::hasVm)
                .map(Item::getVm)
                .filter(VmRecord::getControl)
                .toList();
        return !members.isEmpty() && members.stream().allMatch(VmRecord::getGrantsTrials);
    }

    private static Reply missing() {
        return Reply.newBuilder().setMissing(Missing.getDefaultInstance()).build();
    }

    /** Removes expired suspicions and quarantines. */
    void expire(long stateMillis) {
        parts.expire(stateMillis);
        if (stateMillis < firstExpiryMillis) {
            return;
        }
        crashes.values().stream()
                .filter(state -> state.getExpiresAtMillis() <= stateMillis)
                .map(CrashState::getFingerprint)
                .toList()
                .forEach(this::remove);
        updateFirstExpiry();
    }

    /** Adds the table to a snapshot. */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.addAllCrashes(crashes.values()).addAllCrashes(parts.states());
    }

    /** Replaces the table with the content of a snapshot. */
    void load(ControlSnapshot snapshot) {
        crashes.clear();
        snapshot.getCrashesList().stream()
                .filter(state -> !state.getPart())
                .forEach(state -> crashes.put(state.getFingerprint(), state));
        parts.load(snapshot.getCrashesList());
        updateFirstExpiry();
    }

    private void updateFirstExpiry() {
        firstExpiryMillis = crashes.values().stream()
                .mapToLong(CrashState::getExpiresAtMillis)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private void evictOldest() {
        while (crashes.size() > MAX_REQUESTS) {
            Map.Entry<String, CrashState> oldest = crashes.entrySet().iterator().next();
            remove(oldest.getKey());
        }
    }

    private void remove(String fingerprint) {
        crashes.remove(fingerprint);
        withdraw(fingerprint);
    }

    private void withdraw(String fingerprint) {
        records.remove("crash/" + fingerprint);
    }

    /**
     * Publishes the suspicion of a request or part to the watching VMs, without its crashes, trials and expiry time.
     */
    private void publish(CrashState state) {
        CrashState published = state.toBuilder()
                .clearCrashes()
                .clearUntestedCrashes()
                .clearExpiresAtMillis()
                .clearTrials()
                .clearNextTrialAtMillis()
                .build();
        records.put(Item.newBuilder().setName("crash/" + state.getFingerprint()).setCrash(published));
    }

    /** Whether the crashes that nothing else explains hit several servers, or one often enough. */
    private boolean isQuarantineDue(List<String> crashesOfRequest) {
        List<String> counted = crashesOfRequest.stream()
                .filter(crash -> !parts.isExplained(crash))
                .toList();
        long serverCount = counted.stream().map(CrashTable::serverOf).distinct().count();
        return serverCount > 1 || counted.size() >= QUARANTINE_CRASH_COUNT;
    }

    private static String serverOf(String crash) {
        return crash.substring(0, crash.lastIndexOf(SEPARATOR));
    }

    /** Ends the quarantine of requests that were quarantined for a crash that a part of a prompt explains. */
    private void reconsider(String crash) {
        List<CrashState> released = crashes.values().stream()
                .filter(state -> state.getQuarantined()
                        && state.getCrashesList().contains(crash)
                        && !isQuarantineDue(state.getCrashesList()))
                .toList();
        for (CrashState state : released) {
            CrashState suspect = state.toBuilder().setQuarantined(false).build();
            crashes.put(state.getFingerprint(), suspect);
            publish(suspect);
        }
    }

    private static Reply reply(CrashState state) {
        Suspicion suspicion = state.getQuarantined() ? Suspicion.QUARANTINED : Suspicion.SUSPECT;
        return Reply.newBuilder()
                .setCrash(CrashReply.newBuilder().setSuspicion(suspicion.ordinal()))
                .build();
    }
}
