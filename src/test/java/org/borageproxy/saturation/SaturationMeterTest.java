package org.borageproxy.saturation;

import java.time.Duration;

import org.borageproxy.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SaturationMeterTest {

    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(120);
    private static final double HIGH = 120.0;
    private static final double LOW = 5.0;

    private final VirtualTime time = new VirtualTime(1);
    private final SaturationMeter meter = new SaturationMeter();

    private void delays(double millis, Duration duration) {
        for (Duration elapsed = Duration.ZERO;
                elapsed.compareTo(duration) < 0;
                elapsed = elapsed.plus(SAMPLE_INTERVAL)) {
            time.advance(SAMPLE_INTERVAL);
            meter.recordTimerDelay(millis, time.nowNanos());
        }
    }

    private void unsent(int connections, int unsent, Duration duration) {
        for (Duration elapsed = Duration.ZERO;
                elapsed.compareTo(duration) < 0;
                elapsed = elapsed.plus(SAMPLE_INTERVAL)) {
            time.advance(SAMPLE_INTERVAL);
            meter.recordUnsent(connections, unsent, time.nowNanos());
        }
    }

    /** Pattern: a slowed VM. It must withdraw within 3 s, and return only after a lasting recovery. */
    @Test
    void lastingDelaySaturatesAndLastingRecoveryEndsIt() {
        delays(LOW, Duration.ofSeconds(5));
        delays(HIGH, Duration.ofSeconds(3));
        assertTrue(meter.isSaturated());
        delays(LOW, Duration.ofSeconds(2));
        assertTrue(meter.isSaturated());
        delays(LOW, Duration.ofSeconds(4));
        assertFalse(meter.isSaturated());
    }

    /** Guards against a withdrawal after a pause of the process, which has ended by the time it is noticed. */
    @Test
    void singlePauseDoesNotSaturate() {
        delays(LOW, Duration.ofSeconds(2));
        meter.recordTimerDelay(5_000, time.nowNanos());
        delays(LOW, Duration.ofSeconds(2));
        assertFalse(meter.isSaturated());
    }

    /** Guards against a VM that changes its state with each change of a level near the bound. */
    @Test
    void levelsBetweenTheBoundsChangeNothing() {
        delays(HIGH, Duration.ofSeconds(4));
        delays((SaturationMeter.HIGH_DELAY_MILLIS + SaturationMeter.LOW_DELAY_MILLIS) / 2, Duration.ofSeconds(10));
        assertTrue(meter.isSaturated());
    }

    /** Pattern: a small VM behind a saturated link. Nearly all connections have unsent bytes. */
    @Test
    void unsentBytesOnMostConnectionsSaturate() {
        unsent(20, 18, Duration.ofSeconds(4));
        assertTrue(meter.isSaturated());
    }

    /** Guards against a withdrawal because of callers that read slowly, or of a single caller. */
    @Test
    void someSlowCallersDoNotSaturate() {
        unsent(20, 8, Duration.ofSeconds(10));
        unsent(1, 1, Duration.ofSeconds(10));
        assertFalse(meter.isSaturated());
    }
}
