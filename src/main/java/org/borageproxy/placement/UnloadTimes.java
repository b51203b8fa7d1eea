package org.borageproxy.placement;

import java.time.Duration;

/**
 * Learns how long engines take to unload a model, so that the load of its successor is sent when the room is free. The
 * expected time rises with each load that comes too early and falls with each one that does not, so that about one in
 * ten comes too early. Unloads that wait for running requests take longer than any delay that pays and do not count.
 * Confined to one thread.
 */
final class UnloadTimes {

    private static final double FIRST_EXPECTED_MILLIS = 100;
    private static final double MIN_EXPECTED_MILLIS = 20;
    private static final double MAX_EXPECTED_MILLIS = 500;
    private static final double EARLY_STEP_MILLIS = 18;
    private static final double ON_TIME_STEP_MILLIS = 2;
    /** Time after the first rejected load until the next one; doubles with each further one. */
    private static final long FIRST_RETRY_MILLIS = 120;

    private static final int MAX_DOUBLINGS = 2;

    private double expectedMillis = FIRST_EXPECTED_MILLIS;

    /**
     * Returns the time after an accepted unload at which the room is expected to be free.
     *
     * @return the time from the reply to the order
     */
    Duration expected() {
        return Duration.ofMillis(Math.round(expectedMillis));
    }

    /**
     * Returns the time until a load that was rejected since the room is not free is sent again.
     *
     * @param rejections the number of times that it was rejected, at least one
     * @return the time from the latest rejection
     */
    Duration retryDelay(int rejections) {
        return Duration.ofMillis(FIRST_RETRY_MILLIS << Math.min(rejections - 1, MAX_DOUBLINGS));
    }

    /**
     * Records whether the first load after an unload came in time.
     *
     * @param isAccepted whether the engine had the room; otherwise it had it for the second load
     */
    void record(boolean isAccepted) {
        double changed = expectedMillis + (isAccepted ? -ON_TIME_STEP_MILLIS : EARLY_STEP_MILLIS);
        expectedMillis = Math.max(MIN_EXPECTED_MILLIS, Math.min(MAX_EXPECTED_MILLIS, changed));
    }
}
