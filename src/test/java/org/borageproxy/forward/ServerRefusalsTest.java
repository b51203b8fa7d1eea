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
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.RefusalNotice;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServerRefusalsTest {

    private static final BackendServer SERVER = BackendServerFixture.engine("e", "m");
    private static final BackendServer OTHER = BackendServerFixture.engine("o", "m");
    private static final Optional<VmName> RELAY = Optional.of(new VmName("relay"));
    private static final Optional<VmName> SECOND_RELAY = Optional.of(new VmName("second"));
    private static final Optional<VmName> SELF = Optional.empty();
    private static final Duration TIME = Duration.ofSeconds(3);

    private final VirtualTime time = new VirtualTime(1);
    private final List<BackendServer> announced = new ArrayList<>(List.of(SERVER, OTHER));
    private List<Optional<VmName>> waysInUse = List.of(SELF);
    private final ServerRefusals refusals = new ServerRefusals(
            time::nowNanos,
            (delay, task) -> time.scheduleAfterNanos(delay.toNanos(), task),
            () -> List.copyOf(announced),
            () -> waysInUse);

    @Test
    void refusalEndsAtTheStatedTimeAndWaitingRequestsAreRetriedThen() {
        List<Long> ends = new ArrayList<>();
        refusals.onEnd(() -> ends.add(time.nowNanos()));
        long refusedAtNanos = time.nowNanos();
        refusals.recordAnswer(SERVER, SELF, TIME);
        time.advance(TIME.minusNanos(1));
        assertFalse(refusals.accepts(SERVER, SELF));
        time.advance(Duration.ofNanos(1));
        assertTrue(refusals.accepts(SERVER, SELF));
        assertEquals(List.of(refusedAtNanos + TIME.toNanos()), ends);
    }

    /** Guards against requests that wait until their deadline although every server refuses for a known time. */
    @Test
    void earliestEndIsKnownOnlyWhileAllServersRefuse() {
        refusals.recordAnswer(SERVER, SELF, TIME);
        assertEquals(Optional.empty(), refusals.acceptedAt(announced));
        refusals.recordAnswer(OTHER, SELF, TIME.multipliedBy(2));
        assertEquals(Optional.of(Deadline.after(time.nowNanos(), TIME)), refusals.acceptedAt(announced));
        assertEquals(Optional.empty(), refusals.acceptedAt(List.of()));
    }

    /** Guards against a refusal of one VM that keeps the requests of another one away, and against its loss. */
    @Test
    void serverTakesRequestsOnAnyWayInUseThatItHasNotRefused() {
        refusals.recordAnswer(SERVER, RELAY, TIME);
        assertEquals(Optional.empty(), refusals.refusedUntil(SERVER));
        waysInUse = List.of(RELAY, SECOND_RELAY);
        assertEquals(Optional.empty(), refusals.refusedUntil(SERVER));
        refusals.recordAnswer(SERVER, SECOND_RELAY, TIME.multipliedBy(2));
        assertEquals(Optional.of(Deadline.after(time.nowNanos(), TIME)), refusals.refusedUntil(SERVER));
        assertEquals(1, refusals.refusing().size());
    }

    /** Guards against a report of a former incarnation that keeps requests away from its successor. */
    @Test
    void refusalEndsWithTheIncarnation() {
        refusals.recordAnswer(SERVER, SELF, TIME);
        RefusalNotice late = refusals.noticeOf(SERVER).orElseThrow();
        BackendServer restarted = BackendServerFixture.restarted(SERVER);
        announced.set(0, restarted);
        refusals.recordReport(late, SELF);
        assertTrue(refusals.accepts(restarted, SELF));
    }

    @Test
    void serverThatLeavesIsReportedOncePerIncarnation() {
        List<BackendServer> leaving = new ArrayList<>();
        refusals.onLeaving((server, relay) -> leaving.add(server));
        refusals.recordLeaving(SERVER, SELF);
        refusals.recordReport(refusals.encodeLeaving(SERVER), RELAY);
        assertEquals(List.of(SERVER), leaving);
        BackendServer restarted = BackendServerFixture.restarted(SERVER);
        announced.set(0, restarted);
        refusals.removeUnknownServers();
        refusals.recordLeaving(restarted, RELAY);
        assertEquals(List.of(SERVER, restarted), leaving);
    }

    /** Guards against a later but shorter time, a late report or a frozen VM that ends or prolongs a refusal. */
    @Property(tries = 300, seed = "35")
    void latestOfTheStatedTimesHoldsForEachVmInAnyOrder(@ForAll long seed) {
        // The tries share this instance; the times of earlier ones pass.
        time.advance(TIME.multipliedBy(2));
        Random random = new Random(seed);
        Map<Optional<VmName>, Long> endNanos = new HashMap<>();
        for (int step = 0; step < 60; step++) {
            Optional<VmName> relay = List.of(SELF, RELAY, SECOND_RELAY).get(random.nextInt(3));
            int millis = 1 + random.nextInt(4_000);
            int action = random.nextInt(3);
            if (action == 0) {
                time.advance(Duration.ofMillis(random.nextInt(1_500)));
            } else {
                Duration retryAfter = Duration.ofMillis(millis);
                Deadline until = Deadline.after(time.nowNanos(), retryAfter);
                endNanos.merge(relay, until.atNanos(), Math::max);
                if (action == 1) {
                    refusals.recordAnswer(SERVER, relay, retryAfter);
                } else {
                    refusals.recordReport(refusals.encode(SERVER, until), relay);
                }
            }
            for (Optional<VmName> way : List.of(SELF, RELAY, SECOND_RELAY)) {
                assertEquals(
                        time.nowNanos() - endNanos.getOrDefault(way, Long.MIN_VALUE / 2) >= 0,
                        refusals.accepts(SERVER, way));
            }
        }
    }
}
