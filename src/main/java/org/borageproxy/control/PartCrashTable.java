package org.borageproxy.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.borageproxy.wire.proto.ControlProtocol.CrashState;
import org.borageproxy.wire.proto.ControlProtocol.SuspectPart;

/**
 * Parts of prompts with which requests were beginning when backend servers crashed. A crash counts against a part once,
 * and only against untested parts if there were any: those with which no request had succeeded shortly before, as far
 * as the reporting VM knew and no other VM has vouched for them. A part is quarantined at its fourth crash without a
 * success in between; a success with it ends suspicion and quarantine. Guarded by the lock of {@link ControlState}.
 */
final class PartCrashTable {

    /** Duration of a suspicion or quarantine after the last crash, in milliseconds. */
    static final long RETENTION_MILLIS = 10L * 60 * 1000;
    /** Time for which a part counts as tested after a VM has vouched for it, in milliseconds. */
    static final long VOUCHED_MILLIS = 60L * 1000;
    /** Number of crashes that quarantine a part. */
    static final int QUARANTINE_CRASH_COUNT = 4;
    /** Maximum number of parts in the table; the ones reported least recently are evicted. */
    private static final int MAX_PARTS = 20_000;
    /** Maximum number of crashes that are kept for one part. */
    private static final int MAX_CRASHES = 16;

    private final Consumer<CrashState> publisher;
    private final Consumer<String> remover;
    /** Parts by fingerprint, least recently reported first. */
    private final LinkedHashMap<String, CrashState> parts = new LinkedHashMap<>();
    /** The number of untested parts by crash. */
    private final Map<String, Integer> untestedParts = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param publisher publishes a changed part to the watching VMs
     * @param remover removes the published part with a fingerprint
     */
    PartCrashTable(Consumer<CrashState> publisher, Consumer<String> remover) {
        this.publisher = publisher;
        this.remover = remover;
    }

    /** Records a crash for the parts of one request. Returns whether the first untested one was among them. */
    boolean report(List<SuspectPart> suspects, String crash, long stateMillis) {
        boolean wasExplained = isExplained(crash);
        suspects.forEach(suspect -> record(suspect, crash, stateMillis));
        suspects.forEach(suspect -> updateQuarantine(suspect.getFingerprint()));
        while (parts.size() > MAX_PARTS) {
            clear(oldest().getFingerprint());
        }
        return !wasExplained && isExplained(crash);
    }

    /** Returns whether an untested part is suspected of a crash, so that it does not count against anything else. */
    boolean isExplained(String crash) {
        return untestedParts.containsKey(crash);
    }

    private void record(SuspectPart suspect, String crash, long stateMillis) {
        String fingerprint = suspect.getFingerprint();
        CrashState earlier = parts.remove(fingerprint);
        CrashState.Builder state = earlier == null
                ? CrashState.newBuilder().setFingerprint(fingerprint).setPart(true)
                : earlier.toBuilder();
        if (!state.getCrashesList().contains(crash) && state.getCrashesCount() < MAX_CRASHES) {
            state.addCrashes(crash);
        }
        boolean isUntested = suspect.getUntested() && state.getTestedUntilMillis() <= stateMillis;
        if (isUntested && !state.getUntestedCrashesList().contains(crash)) {
            state.addUntestedCrashes(crash);
            untestedParts.merge(crash, 1, Integer::sum);
        }
        state.setExpiresAtMillis(stateMillis + RETENTION_MILLIS);
        parts.put(fingerprint, state.build());
        if (earlier == null) {
            publisher.accept(state.build());
        }
    }

    private void updateQuarantine(String fingerprint) {
        CrashState state = parts.get(fingerprint);
        if (!state.getQuarantined() && countedCrashes(state) >= QUARANTINE_CRASH_COUNT) {
            CrashState quarantined = state.toBuilder().setQuarantined(true).build();
            parts.put(fingerprint, quarantined);
            publisher.accept(quarantined);
        }
    }

    private long countedCrashes(CrashState state) {
        return state.getCrashesList().stream()
                .filter(crash -> state.getUntestedCrashesList().contains(crash) || !isExplained(crash))
                .count();
    }

    /** Clears a part with which a request has succeeded. Returns whether it was known. */
    boolean clear(String fingerprint) {
        CrashState state = parts.remove(fingerprint);
        if (state == null) {
            return false;
        }
        removeExplanations(state);
        remover.accept(fingerprint);
        return true;
    }

    private void removeExplanations(CrashState state) {
        state.getUntestedCrashesList()
                .forEach(crash -> untestedParts.computeIfPresent(crash, (key, count) -> count == 1 ? null : count - 1));
    }

    /**
     * Records that requests with a part had succeeded at a VM shortly before its crashes. Ends its quarantine if other
     * parts explain the crashes.
     */
    void vouch(String fingerprint, long stateMillis) {
        CrashState state = parts.get(fingerprint);
        if (state == null) {
            return;
        }
        removeExplanations(state);
        CrashState tested = state.toBuilder()
                .clearUntestedCrashes()
                .setTestedUntilMillis(stateMillis + VOUCHED_MILLIS)
                .build();
        boolean isQuarantined = state.getQuarantined() && countedCrashes(tested) >= QUARANTINE_CRASH_COUNT;
        CrashState judged = tested.toBuilder().setQuarantined(isQuarantined).build();
        parts.put(fingerprint, judged);
        publisher.accept(judged);
    }

    /** Returns a part that is quarantined. */
    Optional<TrialSchedule.Quarantined> quarantined(String fingerprint) {
        return Optional.ofNullable(parts.get(fingerprint))
                .filter(CrashState::getQuarantined)
                .map(state -> new TrialSchedule.Quarantined(state, state.getExpiresAtMillis() - RETENTION_MILLIS));
    }

    /** Records a trial of a quarantined part. */
    void recordTrial(String fingerprint, long stateMillis) {
        parts.computeIfPresent(fingerprint, (key, state) -> TrialSchedule.withTrial(state, stateMillis));
    }

    private CrashState oldest() {
        return parts.values().iterator().next();
    }

    /** Removes expired parts, which are the ones reported least recently. */
    void expire(long stateMillis) {
        while (!parts.isEmpty() && oldest().getExpiresAtMillis() <= stateMillis) {
            clear(oldest().getFingerprint());
        }
    }

    /** Returns the parts with their crashes, for a snapshot. */
    Iterable<CrashState> states() {
        return parts.values();
    }

    /** Replaces the table with the parts among the states of a snapshot. */
    void load(List<CrashState> states) {
        parts.clear();
        untestedParts.clear();
        states.stream().filter(CrashState::getPart).forEach(state -> {
            parts.put(state.getFingerprint(), state);
            state.getUntestedCrashesList().forEach(crash -> untestedParts.merge(crash, 1, Integer::sum));
        });
    }
}
