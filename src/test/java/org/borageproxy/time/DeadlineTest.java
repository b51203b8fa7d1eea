package org.borageproxy.time;

import java.time.Duration;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests of {@link Deadline}. */
class DeadlineTest {

    @Test
    void remainingMillisecondsAreRoundedUp() {
        assertEquals(2, Deadline.after(0, Duration.ofNanos(1_000_001)).remainingMillis(0));
    }

    @Property(tries = 200)
    void hasNotPassedAtItsStartAndHasPassedAtItsEnd(
            @ForAll long now, @ForAll @LongRange(min = 1, max = 1L << 40) long length) {
        Deadline deadline = Deadline.after(now, Duration.ofNanos(length));
        assertTrue(!deadline.hasPassed(now) && deadline.hasPassed(now + length));
    }
}
