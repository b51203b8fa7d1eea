package org.borageproxy.scheduling;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.borageproxy.routing.EngineWork;
import org.borageproxy.time.Deadline;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdmissionPolicyTest {

    private static final long MILLI = 1_000_000L;

    private final AdmissionPolicy policy = new AdmissionPolicy();

    private static WaitingRequest request(int objectiveMillis, int deadlineMillis, int outputTokens, long nowMillis) {
        EngineWork work = new EngineWork("m", "", 1_900, outputTokens, List.of());
        RequestCost.Times times = new RequestCost.Times(
                nowMillis * MILLI,
                Duration.ZERO,
                Duration.ofMillis(objectiveMillis),
                Duration.ofMillis(deadlineMillis));
        RequestCost cost = RequestCost.of(5, false, "w", Optional.of(work), times);
        return new WaitingRequest(new WaitingRequest.Lane("s", "m", "", ""), cost, "r", () -> {});
    }

    /** Load pattern: a burst of requests with a far objective. They wait for seconds instead of being refused. */
    @Test
    void requestWaitsUntilItCouldNoLongerEndInTime() {
        WaitingRequest request = request(10_000, 15_000, 100, 0);
        Deadline expectedStart = policy.expectedStart(request, 6_000, 1, 0);
        assertEquals(6_000 * MILLI, expectedStart.atNanos());
        AdmissionDecision decision = policy.decide(request, expectedStart, 0);
        long runMillis = 100 + 150 + 100 * 12;
        assertEquals(
                (15_000 - runMillis) * MILLI, decision.waitUntil().orElseThrow().atNanos(), MILLI);
    }

    /** Guards against requests that wait in vain: one that cannot end before its deadline is refused at once. */
    @Test
    void requestThatCannotBeginInTimeIsRefusedAtOnce() {
        WaitingRequest request = request(800, 5_000, 100, 0);
        Deadline expectedStart = policy.expectedStart(request, 4_000, 1, 0);
        AdmissionDecision decision = policy.decide(request, expectedStart, 0);
        assertTrue(decision.waitUntil().isEmpty());
        assertEquals(4_000 * MILLI, decision.retryAt().atNanos());
    }

    /** Guards against refusals of requests whose stated output is an upper bound that they never reach. */
    @Test
    void statedOutputLeavesHalfOfTheTimeForWaiting() {
        WaitingRequest request = request(800, 5_000, 4_000, 0);
        AdmissionDecision decision = policy.decide(request, new Deadline(0), 0);
        assertEquals(2_500 * MILLI, decision.waitUntil().orElseThrow().atNanos());
    }

    /** Load pattern: a wave of refused callers. They come back one after the other, within three seconds. */
    @Test
    void refusedCallersAreToldDifferentTimes() {
        long last = 0;
        for (int number = 0; number < 20; number++) {
            long retryAt = policy.retryAt(request(800, 5_000, 0, 0), new Deadline(1_000 * MILLI), 0)
                    .atNanos();
            assertTrue(retryAt > last, retryAt + " after " + last);
            last = retryAt;
        }
        for (int number = 0; number < 100; number++) {
            last = policy.retryAt(request(800, 5_000, 0, 0), new Deadline(1_000 * MILLI), 0)
                    .atNanos();
        }
        assertEquals(4_000 * MILLI, last);
    }

    /** Load pattern: engines lost at the peak. The prediction follows the rate at which requests really begin. */
    @Test
    void predictionFollowsTheObservedRateWhileRequestsWait() {
        long millis = 0;
        for (; millis < 2_000; millis += 200) {
            policy.recordStart(request(800, 5_000, 0, millis), true, millis * MILLI);
        }
        WaitingRequest request = request(10_000, 15_000, 0, millis);
        Deadline expected = policy.expectedStart(request, 1_000, 4, millis * MILLI);
        // 100 ms of work begin every 200 ms.
        assertEquals(2_000, expected.remainingMillis(millis * MILLI), 400);
    }

    /** Guards against a prediction that outlives the overload from which it was learned. */
    @Test
    void observedRateIsForgottenOnceNothingWaits() {
        for (long millis = 0; millis < 2_000; millis += 200) {
            policy.recordStart(request(800, 5_000, 0, millis), true, millis * MILLI);
        }
        long later = 3_000;
        WaitingRequest request = request(800, 5_000, 0, later);
        assertEquals(250, policy.expectedStart(request, 1_000, 4, later * MILLI).remainingMillis(later * MILLI));
        assertFalse(policy.decide(request, new Deadline(later * MILLI), later * MILLI)
                .waitUntil()
                .isEmpty());
    }
}
