package org.borageproxy.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.borageproxy.execution.RequestDigest;
import org.borageproxy.publication.PublishedRoute;
import org.borageproxy.publication.Repeatability;
import org.borageproxy.time.Deadline;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class BufferedRequestTest {

    private static final long SENT_AT_NANOS = 1_000_000_000;

    private static BufferedRequest request(Duration objective, Duration timeLeft) {
        PublishedRoute route = new PublishedRoute(
                "r",
                "host.example",
                "/r/",
                Repeatability.ONCE,
                Duration.ofSeconds(20),
                objective,
                Duration.ZERO,
                1,
                List.of(new PublishedRoute.WeightedService("s", 1)),
                2,
                false);
        return new BufferedRequest(
                null,
                new RequestMetadata(
                        "i",
                        Optional.empty(),
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty()),
                new RequestBody(new byte[0], null),
                route,
                "s",
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                CrashSuspects.of(RequestDigest.fingerprint("w", "/", new byte[0]), "s", List.of()),
                SENT_AT_NANOS,
                Deadline.after(SENT_AT_NANOS, timeLeft));
    }

    private static boolean mayBeAnswered(int objectiveMillis, int leftMillis, int untilStopMillis) {
        return request(Duration.ofMillis(objectiveMillis), Duration.ofMillis(leftMillis))
                .mayBeAnsweredBy(Deadline.after(SENT_AT_NANOS, Duration.ofMillis(untilStopMillis)), SENT_AT_NANOS);
    }

    /** Guards against requests that come late in the grace period of a stop and are cut at its end. */
    @Test
    void requestIsPassedOnOnlyIfItsObjectiveEndsBeforeTheConnectionsAreClosed() {
        assertEquals(true, mayBeAnswered(386, 4_000, 7_300));
        assertEquals(true, mayBeAnswered(7_300, 20_000, 7_300));
        assertEquals(false, mayBeAnswered(7_301, 20_000, 7_300));
        assertEquals(false, mayBeAnswered(386, 4_000, 300));
        assertEquals(true, mayBeAnswered(10_000, 300, 300));
        assertEquals(false, mayBeAnswered(0, 4_000, 300));
    }
}
