package org.borageproxy.control;

import java.util.LinkedHashMap;
import java.util.Map;

import org.borageproxy.execution.Suspicion;
import org.borageproxy.wire.proto.ControlProtocol.ControlSnapshot;
import org.borageproxy.wire.proto.ControlProtocol.CrashReply;
import org.borageproxy.wire.proto.ControlProtocol.CrashState;
import org.borageproxy.wire.proto.ControlProtocol.Item;
import org.borageproxy.wire.proto.ControlProtocol.Reply;
import org.borageproxy.wire.proto.ControlProtocol.ReportCrash;

/**
 * Requests that were running when backend servers crashed. The first crash makes a request suspect. A further crash
 * quarantines it if it ran alone, if an earlier crash hit another backend server, or if it is the third. A successful
 * response clears a suspect request but not a quarantined one. Guarded by the lock of {@link ControlState}.
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

    /** Requests by fingerprint, least recently reported first. */
    private final LinkedHashMap<String, CrashState> crashes = new LinkedHashMap<>();

    /** Lower bound of all expiry times, in milliseconds since the epoch. */
    private long firstExpiryMillis = Long.MAX_VALUE;

    CrashTable(WatchedRecords records) {
        this.records = records;
    }

    /**
     * Records a crash and replies with the suspicion of the request. A crash of the same incarnation of a backend
     * server counts once per request.
     */
    Reply report(ReportCrash report, long stateMillis) {
        String crash = report.getServer() + SEPARATOR + report.getIncarnation();
        CrashState earlier = crashes.get(report.getFingerprint());
        if (earlier != null && earlier.getCrashesList().contains(crash)) {
            return reply(earlier);
        }
        CrashState.Builder state =
                earlier == null ? CrashState.newBuilder().setFingerprint(report.getFingerprint()) : earlier.toBuilder();
        boolean isQuarantined = state.getQuarantined()
                || earlier != null && (report.getAlone() || hasCrashedOtherServer(earlier, report.getServer()))
                || state.getCrashesCount() + 1 >= QUARANTINE_CRASH_COUNT;
        state.addCrashes(crash).setQuarantined(isQuarantined);
        state.setExpiresAtMillis(stateMillis + (isQuarantined ? QUARANTINE_MILLIS : SUSPICION_MILLIS));
        crashes.remove(report.getFingerprint());
        crashes.put(report.getFingerprint(), state.build());
        firstExpiryMillis = Math.min(firstExpiryMillis, state.getExpiresAtMillis());
        publish(state.build());
        evictOldest();
        return reply(state.build());
    }

    /** Clears a suspect request that has been answered. Does not affect quarantined requests. */
    void clear(String fingerprint) {
        CrashState state = crashes.get(fingerprint);
        if (state != null && !state.getQuarantined()) {
            remove(fingerprint);
        }
    }

    /** Removes expired suspicions and quarantines. */
    void expire(long stateMillis) {
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
        snapshot.addAllCrashes(crashes.values());
    }

    /** Replaces the table with the content of a snapshot. */
    void load(ControlSnapshot snapshot) {
        crashes.clear();
        snapshot.getCrashesList().forEach(state -> crashes.put(state.getFingerprint(), state));
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
        records.remove("crash/" + fingerprint);
    }

    /** Publishes the suspicion of a request to the watching VMs, without its crashes and expiry time. */
    private void publish(CrashState state) {
        CrashState published =
                state.toBuilder().clearCrashes().clearExpiresAtMillis().build();
        records.put(Item.newBuilder().setName("crash/" + state.getFingerprint()).setCrash(published));
    }

    /** Whether the request was reported for a crash of a different backend server. */
    private static boolean hasCrashedOtherServer(CrashState state, String server) {
        return state.getCrashesList().stream().anyMatch(crash -> !crash.startsWith(server + SEPARATOR));
    }

    private static Reply reply(CrashState state) {
        Suspicion suspicion = state.getQuarantined() ? Suspicion.QUARANTINED : Suspicion.SUSPECT;
        return Reply.newBuilder()
                .setCrash(CrashReply.newBuilder().setSuspicion(suspicion.ordinal()))
                .build();
    }
}
