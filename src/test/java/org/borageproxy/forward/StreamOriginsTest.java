package org.borageproxy.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.wire.proto.CoordinationProtocol.BegunStream;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StreamOriginsTest {

    private static final StreamOrigin FIRST = new StreamOrigin("s", "v1");
    private static final StreamOrigin SECOND = new StreamOrigin("s", "v2");

    private final VirtualTime time = new VirtualTime(1);
    private final StreamOrigins origins = new StreamOrigins(time::nowNanos);

    private List<String> unreported() {
        return origins.collectUnreported().stream().map(BegunStream::getRequest).toList();
    }

    @Test
    void originIsReportedUntilTheReportIsConfirmed() {
        origins.confirmReport(1);
        origins.recordBegun("a", FIRST);
        assertEquals(List.of("a"), unreported());
        origins.recordBegun("b", SECOND);
        assertEquals(List.of("a", "b"), unreported());
        origins.confirmReport(1);
        origins.recordBegun("c", FIRST);
        assertEquals(List.of("c"), unreported());
    }

    /** Guards against streams that no VM can continue: the coordinator is replaced after the report. */
    @Test
    void allOriginsAreReportedAgainToAnotherCoordinator() {
        origins.recordBegun("a", FIRST);
        unreported();
        origins.confirmReport(1);
        unreported();
        origins.confirmReport(1);
        assertEquals(List.of(), unreported());
        origins.confirmReport(2);
        assertEquals(List.of("a"), unreported());
    }

    /**
     * Guards against a stream that goes on at the version of another one: a caller used one identity twice, so that
     * either version may have begun the stream that it resumes.
     */
    @Test
    void requestWithTwoOriginsHasNoneOnAnyVm() {
        StreamOrigins coordinator = new StreamOrigins(time::nowNanos);
        origins.recordBegun("a", FIRST);
        assertEquals(Optional.of(FIRST), origins.find("a"));
        coordinator.recordReported(origins.collectUnreported());
        origins.recordBegun("a", SECOND);
        assertEquals(Optional.empty(), origins.find("a"));
        assertTrue(origins.isRecorded("a"));
        coordinator.recordReported(origins.collectUnreported());
        assertEquals(Optional.empty(), coordinator.find("a"));
        origins.recordBegun("a", FIRST);
        assertEquals(Optional.empty(), origins.find("a"));
    }

    /** Guards against the use of an origin after its period, while nothing else is recorded. */
    @Test
    void expiredOriginIsNotUsed() {
        origins.recordBegun("a", FIRST);
        time.advance(Duration.ofSeconds(61));
        assertEquals(Optional.empty(), origins.find("a"));
    }

    @Test
    void originIsForgottenAfterRetention() {
        origins.recordBegun("a", FIRST);
        time.advance(Duration.ofSeconds(61));
        origins.recordBegun("b", SECOND);
        assertEquals(Optional.empty(), origins.find("a"));
        assertEquals(List.of("b"), unreported());
    }

    @Test
    void requestWithoutIdentityHasNoOrigin() {
        origins.recordBegun("", FIRST);
        assertEquals(Optional.empty(), origins.find(""));
    }

    /**
     * Guards against a coordinator that names another version than the one that began a stream: reports are lost,
     * delivered without their confirmation, and the coordinator is replaced, in random order.
     */
    @Property(seed = "20261204")
    void coordinatorKnowsNothingWrongAndFinallyEverything(@ForAll long seed) {
        Random random = new Random(seed);
        Map<String, StreamOrigin> begun = new HashMap<>();
        long term = 1;
        StreamOrigins entry = new StreamOrigins(time::nowNanos);
        StreamOrigins coordinator = new StreamOrigins(time::nowNanos);
        for (int step = 0; step < 60; step++) {
            StreamOrigin origin = random.nextBoolean() ? FIRST : SECOND;
            String request = "r" + random.nextInt(1000) + "-" + step;
            entry.recordBegun(request, origin);
            begun.put(request, origin);
            if (random.nextInt(10) == 0) {
                coordinator = new StreamOrigins(time::nowNanos);
                term++;
            }
            boolean isDelivered = random.nextInt(3) > 0;
            boolean isConfirmed = isDelivered && random.nextInt(4) > 0;
            List<BegunStream> report = new ArrayList<>(entry.collectUnreported());
            if (isDelivered) {
                coordinator.recordReported(report);
            }
            if (isConfirmed) {
                entry.confirmReport(term);
            }
            assertNothingWrong(coordinator, begun);
        }
        for (int round = 0; round < 2; round++) {
            coordinator.recordReported(entry.collectUnreported());
            entry.confirmReport(term);
        }
        for (Map.Entry<String, StreamOrigin> stream : begun.entrySet()) {
            assertEquals(Optional.of(stream.getValue()), coordinator.find(stream.getKey()));
        }
    }

    private static void assertNothingWrong(StreamOrigins coordinator, Map<String, StreamOrigin> begun) {
        begun.forEach((request, origin) ->
                assertTrue(coordinator.find(request).map(origin::equals).orElse(true), request));
    }
}
