package org.borageproxy.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * The permits of a fleet for one server in virtual time: a coordinator that holds the whole rate, and entries that have
 * lost it and hold shares, all with more requests than permits.
 */
class RequestPermitsTest {

    private static final long STEP_NANOS = 10_000_000L;
    private static final int WINDOW_STEPS = 400;
    private static final int STEPS = 3_000;
    /** Fraction of the rate that entries without coordinator share. */
    private static final double SHARED_FRACTION = 0.3;

    /** Guards against entries that together send more than a server takes once they lose the coordinator. */
    @Property(tries = 60, seed = "31")
    void fleetKeepsLimitIfSomeEntriesLoseTheCoordinator(
            @ForAll @DoubleRange(min = 0, max = 60) double limit,
            @ForAll @IntRange(min = 1, max = 370) int entryCount,
            @ForAll long seed) {
        Random random = new Random(seed);
        RequestPermits whole = new RequestPermits(limit, random, 0);
        List<RequestPermits> shares = new ArrayList<>();
        // The others get their permits from the coordinator.
        for (int index = 0; index < (entryCount + 1) / 2; index++) {
            shares.add(new RequestPermits(limit, random, 0));
        }
        int[] sent = new int[STEPS];
        for (int step = 0; step < STEPS; step++) {
            long now = step * STEP_NANOS;
            sent[step] += take(whole, 1, now);
            for (RequestPermits share : shares) {
                if (random.nextInt(5) == 0) {
                    sent[step] += take(share, SHARED_FRACTION / entryCount, now);
                }
            }
        }
        int inWindow = 0;
        for (int step = 0; step < STEPS; step++) {
            inWindow += sent[step] - (step < WINDOW_STEPS ? 0 : sent[step - WINDOW_STEPS]);
            int count = inWindow;
            assertTrue(count <= 1.5 * limit * 4 + 5, () -> count + " requests at a limit of " + limit);
        }
    }

    /** Guards against limits that leave much of what a server takes unused. */
    @Property(tries = 30, seed = "31")
    void wholeRateIsUsed(@ForAll @DoubleRange(min = 0.5, max = 60) double limit) {
        RequestPermits whole = new RequestPermits(limit, new Random(1), 0);
        int sent = 0;
        for (int step = 0; step < STEPS; step++) {
            sent += take(whole, 1, step * STEP_NANOS);
        }
        double seconds = STEPS * STEP_NANOS / 1e9;
        int total = sent;
        assertTrue(total >= limit * seconds * 0.8 - 1, () -> total + " requests at a limit of " + limit);
    }

    private static int take(RequestPermits permits, double share, long nowNanos) {
        if (!permits.isAvailable(share, nowNanos)) {
            return 0;
        }
        permits.acquire(share, nowNanos);
        return 1;
    }
}
