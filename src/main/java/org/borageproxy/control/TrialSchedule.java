package org.borageproxy.control;

import java.util.Collection;

import org.borageproxy.wire.proto.ControlProtocol.CrashState;

/**
 * When requests with quarantined suspects may be sent once to find out whether the quarantine is wrong. The trials of a
 * suspect are spaced ever wider, and their number is bounded: with the runs that they permit, a suspect that does crash
 * servers stays within what the fleet may send after the crashes. Stateless.
 */
final class TrialSchedule {

    /** Number of trials of one quarantine. */
    static final int MAX_TRIALS = 3;

    /** Time between the last crash and the first trial, in milliseconds. */
    static final long FIRST_DELAY_MILLIS = 1_000;

    /** Time between the first trial and the second, in milliseconds. */
    static final long SECOND_DELAY_MILLIS = 4_000;

    /** Ratio of the time after a trial to the time before it, from the second trial on. */
    private static final long SPACING_FACTOR = 16;

    /** Additional wait for each further quarantined suspect of the request, in milliseconds. */
    static final long COMPANION_DELAY_MILLIS = 2_000;

    private TrialSchedule() {}

    /**
     * A quarantined suspect.
     *
     * @param state its record
     * @param crashedAtMillis the time of its last crash
     */
    record Quarantined(CrashState state, long crashedAtMillis) {

        /** Returns the earliest time of a trial; the end of the quarantine if it has had all trials. */
        private long trialDueAtMillis() {
            return state.getTrials() >= MAX_TRIALS
                    ? state.getExpiresAtMillis()
                    : Math.max(crashedAtMillis + FIRST_DELAY_MILLIS, state.getNextTrialAtMillis());
        }
    }

    /**
     * Returns when a request may be tried. Requests with fewer quarantined suspects go first, since they rather lack
     * the one that crashes servers.
     *
     * @param suspects all its quarantined suspects
     * @return the time in milliseconds, zero without any suspect
     */
    static long dueAtMillis(Collection<Quarantined> suspects) {
        return suspects.stream()
                .mapToLong(Quarantined::trialDueAtMillis)
                .map(dueAtMillis -> dueAtMillis + (suspects.size() - 1) * COMPANION_DELAY_MILLIS)
                .max()
                .orElse(0);
    }

    /** Returns the record of a suspect after another trial. */
    static CrashState withTrial(CrashState state, long stateMillis) {
        long spacingMillis = SECOND_DELAY_MILLIS * (long) Math.pow(SPACING_FACTOR, state.getTrials());
        return state.toBuilder()
                .setTrials(state.getTrials() + 1)
                .setNextTrialAtMillis(stateMillis + spacingMillis)
                .build();
    }
}
