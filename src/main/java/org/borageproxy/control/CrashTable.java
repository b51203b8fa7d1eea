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
 * Requests that were running when backend servers ended. One crash makes a request suspect; another one quarantines it
 * if it ran alone, if the backend server is a different one, or if it is the third. An answer clears a suspect but not
 * a quarantined request. Guarded by the lock of {@link ControlState}.
 */
final class CrashTable {

    /** The time after which a suspicion ends, in milliseconds. */
    static final long SUSPICION_MILLIS = 60L * 60 * 1000;

    /** The time after which a quarantine ends, in milliseconds. */
    static final long QUARANTINE_MILLIS = 30L * 24 * 60 * 60 * 1000;

    /** The number of requests that are kept; the oldest are dropped. */
    private static final int KEPT_REQUESTS = 20_000;

    /** The number of crashes that quarantine a request whatever else ran beside it. */
    private static final int QUARANTINE_CRASHES = 3;

    /** Stands between a backend server and its incarnation. */
    private static final String SEPARATOR = "@";

    /** The records that every VM holds. */
    private final SpreadTable spread;

    /** The requests by fingerprint, the ones reported last at the end. */
    private final LinkedHashMap<String, CrashState> crashes = new LinkedHashMap<>();

    /** When the first suspicion or quarantine ends, in milliseconds since 1970; never too late. */
    private long firstExpiryMillis = Long.MAX_VALUE;

    /**
     * Creates an empty table.
     *
     * @param spread the records that every VM holds
     */
    CrashTable(SpreadTable spread) {
        this.spread = spread;
    }

    /**
     * Records a crash.
     *
     * @param report the report
     * @param stateMillis the state's time in milliseconds since 1970
     * @return the reply with the suspicion
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
                || earlier != null && (report.getAlone() || isElsewhere(earlier, report.getServer()))
                || state.getCrashesCount() + 1 >= QUARANTINE_CRASHES;
        state.addCrashes(crash).setQuarantined(isQuarantined);
        state.setExpiresAtMillis(stateMillis + (isQuarantined ? QUARANTINE_MILLIS : SUSPICION_MILLIS));
        crashes.remove(report.getFingerprint());
        crashes.put(report.getFingerprint(), state.build());
        firstExpiryMillis = Math.min(firstExpiryMillis, state.getExpiresAtMillis());
        tell(state.build());
        dropOldest();
        return reply(state.build());
    }

    /**
     * Clears a suspect request that was answered.
     *
     * @param fingerprint the request
     */
    void clear(String fingerprint) {
        CrashState state = crashes.get(fingerprint);
        if (state != null && !state.getQuarantined()) {
            remove(fingerprint);
        }
    }

    /**
     * Removes the suspicions and quarantines that have ended.
     *
     * @param stateMillis the state's time in milliseconds since 1970
     */
    void expire(long stateMillis) {
        if (stateMillis < firstExpiryMillis) {
            return;
        }
        crashes.values().stream()
                .filter(state -> state.getExpiresAtMillis() <= stateMillis)
                .map(CrashState::getFingerprint)
                .toList()
                .forEach(this::remove);
        findFirstExpiry();
    }

    /**
     * Adds the table to a snapshot.
     *
     * @param snapshot the snapshot
     */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.addAllCrashes(crashes.values());
    }

    /**
     * Replaces the table by that of a snapshot.
     *
     * @param snapshot the snapshot
     */
    void load(ControlSnapshot snapshot) {
        crashes.clear();
        snapshot.getCrashesList().forEach(state -> crashes.put(state.getFingerprint(), state));
        findFirstExpiry();
    }

    /** Finds when the first suspicion or quarantine ends. */
    private void findFirstExpiry() {
        firstExpiryMillis = crashes.values().stream()
                .mapToLong(CrashState::getExpiresAtMillis)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Drops the oldest requests beyond the number that is kept. */
    private void dropOldest() {
        while (crashes.size() > KEPT_REQUESTS) {
            Map.Entry<String, CrashState> oldest = crashes.entrySet().iterator().next();
            remove(oldest.getKey());
        }
    }

    /**
     * Removes a request and tells every VM.
     *
     * @param fingerprint the request
     */
    private void remove(String fingerprint) {
        crashes.remove(fingerprint);
        spread.remove("crash/" + fingerprint);
    }

    /**
     * Tells every VM of a request.
     *
     * @param state the request
     */
    private void tell(CrashState state) {
        CrashState told =
                state.toBuilder().clearCrashes().clearExpiresAtMillis().build();
        spread.put(Item.newBuilder().setName("crash/" + state.getFingerprint()).setCrash(told));
    }

    /**
     * Tells whether a request crashed another backend server before.
     *
     * @param state the request
     * @param server the backend server that ended now
     * @return {@code true} if an earlier crash was on another one
     */
    private static boolean isElsewhere(CrashState state, String server) {
        return state.getCrashesList().stream().anyMatch(crash -> !crash.startsWith(server + SEPARATOR));
    }

    /**
     * Returns the reply with the suspicion of a request.
     *
     * @param state the request
     * @return the reply
     */
    private static Reply reply(CrashState state) {
        Suspicion suspicion = state.getQuarantined() ? Suspicion.QUARANTINED : Suspicion.SUSPECT;
        return Reply.newBuilder()
                .setCrash(CrashReply.newBuilder().setSuspicion(suspicion.ordinal()))
                .build();
    }
}
