package org.borageproxy.quota;

import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.borageproxy.publication.PublishedWorkspace;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

class RateFairnessTest {

    private static final long MILLI = RateFleet.MILLI;
    private static final long RATE = 24_000;
    private static final PublishedWorkspace WORKSPACE = RateFleet.workspace(RATE);
    private static final int LARGE = 3_500;

    private RateFleet fleet;
    private double singleBucketTokens;
    private long admittedBySingleBucket;
    private long requestedSmall;
    private long admittedSmall;
    private long requestedLarge;
    private long admittedLarge;

    /**
     * Load pattern: a workspace requests seven tenths of its rate, unevenly distributed over the entries. At least 99 %
     * as many requests are admitted as with a single token bucket.
     */
    @Property(tries = 30)
    void requestsWithinTheRateAreAdmitted(@ForAll long seed) {
        simulate(seed, 0.7, 3_000);
        long admitted = admittedSmall + admittedLarge;
        assertTrue(
                admitted >= 0.99 * admittedBySingleBucket,
                "admitted " + admitted + ", by a single bucket " + admittedBySingleBucket);
    }

    /** The seeds with requests in the last step, which were counted for the single bucket only. */
    @ParameterizedTest
    @ValueSource(longs = {148, -2_945})
    void requestsOfTheLastStepAreCounted(long seed) {
        requestsWithinTheRateAreAdmitted(seed);
    }

    /**
     * Load pattern: a workspace requests four times its rate. Large requests are admitted about as often as small ones.
     */
    @Property(tries = 5)
    void largeRequestsOfAHotWorkspaceAreNotStarved(@ForAll long seed) {
        simulate(seed, 4, 30_000);
        double small = (double) admittedSmall / requestedSmall;
        double large = (double) admittedLarge / requestedLarge;
        assertTrue(large >= 0.8 * small, "large " + large + ", small " + small);
        assertTrue(small > 0.1, "small " + small);
    }

    /**
     * Load pattern: an entry refuses many requests of a workspace at the same time. The callers get increasing retry
     * delays, so that they do not retry all at once.
     */
    @Test
    void refusedCallersGetIncreasingRetryDelays() {
        RateShares shares = new RateShares(0, new Random(1), () -> 1);
        shares.applyShares(Map.of("w", WORKSPACE), List.of(), 0);
        shares.recordDemand(WORKSPACE, 3_000, 0);
        long last = 0;
        for (int request = 0; request < 4; request++) {
            long millis =
                    shares.spend(WORKSPACE, 3_000, 0).orElseThrow().retryAfter().toMillis();
            shares.recordRefusal(WORKSPACE, 3_000, 0);
            assertTrue(millis >= 300 && millis > last, "retry delay of " + millis + " ms after one of " + last + " ms");
            last = millis;
        }
        long afterwards = 60_000 * MILLI;
        shares.applyShares(Map.of("w", WORKSPACE), List.of(), afterwards);
        assertTrue(shares.spend(WORKSPACE, 3_000, afterwards)
                        .orElseThrow()
                        .retryAfter()
                        .toMillis()
                < last);
    }

    private void simulate(long seed, double load, int steps) {
        Random random = new Random(seed);
        singleBucketTokens = 0;
        admittedBySingleBucket = 0;
        requestedSmall = 0;
        admittedSmall = 0;
        requestedLarge = 0;
        admittedLarge = 0;
        fleet = new RateFleet(RATE);
        for (long step = 0; step < steps; step++) {
            long nowNanos = step * 10 * MILLI;
            singleBucketTokens = Math.min(RATE, singleBucketTokens + RATE / 100.0);
            boolean hasSavedTheBurst = step > 120;
            for (int entry = 0; entry < fleet.size(); entry++) {
                // The first entry receives half of the requests.
                double fraction = entry == 0 ? 0.5 : 0.5 / (fleet.size() - 1);
                if (hasSavedTheBurst && random.nextDouble() < load * fraction * RATE / 2_400 / 100) {
                    request(entry, 400 + random.nextInt(4_000), nowNanos);
                }
                if ((step + entry) % 12 == 0 || step % 2 == 0 && fleet.hasShortage(entry)) {
                    fleet.report(entry, nowNanos);
                }
            }
        }
        decidePendingRequests(steps * 10L * MILLI);
    }

    /** Requests of the last steps are decided after them, so that they count as they do for the single bucket. */
    private void decidePendingRequests(long nowNanos) {
        for (int entry = 0; entry < fleet.size(); entry++) {
            if (fleet.hasShortage(entry)) {
                fleet.report(entry, nowNanos);
            }
        }
    }

    private void request(int entry, int tokens, long nowNanos) {
        if (singleBucketTokens >= tokens) {
            singleBucketTokens -= tokens;
            admittedBySingleBucket++;
        }
        if (tokens >= LARGE) {
            requestedLarge++;
        } else {
            requestedSmall++;
        }
        if (fleet.spend(entry, tokens, nowNanos)) {
            countAdmitted(tokens);
        } else if (fleet.mayAwaitGrant(entry, tokens, nowNanos)) {
            fleet.awaitGrant(entry, tokens, nowNanos, () -> countAdmitted(tokens));
        }
    }

    private void countAdmitted(int tokens) {
        if (tokens >= LARGE) {
            admittedLarge++;
        } else {
            admittedSmall++;
        }
    }
}
