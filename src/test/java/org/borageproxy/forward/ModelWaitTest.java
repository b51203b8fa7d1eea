package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;

import org.borageproxy.time.Deadline;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests of {@link ModelWait}. */
class ModelWaitTest {

    private static final Duration LOAD_TIME = Duration.ofSeconds(9);
    private static final Duration RETRY_AFTER = Duration.ofMillis(1500);

    private static Optional<Deadline> after(Duration duration) {
        return Optional.of(Deadline.after(0, duration));
    }

    private static ModelWait.Times times(long waitedMillis, long deadlineMillis) {
        return new ModelWait.Times(0, waitedMillis, deadlineMillis);
    }

    @Test
    void requestWaitsForALoadThatEndsInTime() {
        assertEquals(
                LOAD_TIME,
                times(0, 15_000)
                        .decide(after(LOAD_TIME), true, Optional.empty())
                        .duration());
    }

    /** Guards against callers that are told to come back before the load ends. */
    @Test
    void requestThatALoadCannotServeIsRefusedAtOnceUntilItsEnd() {
        ModelWait ordered = times(0, 5_000).decide(after(LOAD_TIME), true, Optional.empty());
        ModelWait unordered = times(0, 5_000).decide(Optional.empty(), true, after(LOAD_TIME));
        assertEquals(new ModelWait(Duration.ZERO, LOAD_TIME), ordered);
        assertEquals(new ModelWait(Duration.ZERO, LOAD_TIME), unordered);
    }

    @Test
    void requestWaitsForAnOrderOnlyOnce() {
        assertEquals(
                new ModelWait(Duration.ofMillis(700), RETRY_AFTER),
                times(0, 15_000).decide(Optional.empty(), true, after(LOAD_TIME)));
        assertEquals(
                new ModelWait(Duration.ZERO, RETRY_AFTER),
                times(800, 14_200).decide(Optional.empty(), true, after(LOAD_TIME)));
    }

    /** A caller who has no time for another load after its return comes back when the load can have ended. */
    @Test
    void callerWithLittleTimeComesBackForTheEndOfTheLoad() {
        assertEquals(
                new ModelWait(Duration.ZERO, LOAD_TIME),
                times(800, 10_000).decide(Optional.empty(), true, after(LOAD_TIME)));
    }

    @Test
    void nothingWaitsForAnOrderThatIsNotSent() {
        assertEquals(
                new ModelWait(Duration.ZERO, RETRY_AFTER),
                times(0, 15_000).decide(Optional.empty(), false, Optional.empty()));
    }
}
