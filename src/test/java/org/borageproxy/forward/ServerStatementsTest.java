package org.borageproxy.forward;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.routing.ServerStatement;
import org.borageproxy.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServerStatementsTest {

    private static final BackendServer SERVER = BackendServerFixture.engine("e", "m");
    private static final ServerStatement LIMITED = new ServerStatement(OptionalDouble.of(2), OptionalInt.empty());

    private final VirtualTime time = new VirtualTime(1);
    private final ServerStatements entry = new ServerStatements(time::nowNanos, new Random(1), () -> 0.1);
    private final ServerStatements coordinator = new ServerStatements(time::nowNanos, new Random(1), () -> 1);

    private void advance(int millis) {
        time.advance(Duration.ofMillis(millis));
    }

    @Test
    void limitHoldsUntilAnAnswerToALaterRequestStatesNone() {
        long sentBefore = time.nowNanos();
        advance(10);
        entry.recordAnswer(SERVER, LIMITED, sentBefore);
        advance(10);
        entry.recordAnswer(SERVER, ServerStatement.NONE, sentBefore);
        assertTrue(entry.isLimiting(SERVER));
        long sentAfter = time.nowNanos();
        advance(10);
        entry.recordAnswer(SERVER, ServerStatement.NONE, sentAfter);
        assertFalse(entry.isLimiting(SERVER));
        assertTrue(entry.isPermitted(SERVER));
    }

    @Test
    void coordinatorLearnsLimitsAndTheirEndsFromReports() {
        entry.recordAnswer(SERVER, LIMITED, time.nowNanos());
        coordinator.merge(entry.collectUnreported());
        assertTrue(coordinator.isLimiting(SERVER));
        entry.confirmReport(4);
        assertEquals(List.of(), entry.collectUnreported());
        advance(1_000);
        entry.recordAnswer(SERVER, ServerStatement.NONE, time.nowNanos());
        coordinator.merge(entry.collectUnreported());
        assertFalse(coordinator.isLimiting(SERVER));
    }

    /** Guards against a new coordinator that does not know the limits. */
    @Test
    void coordinatorOfAnotherTermGetsAllLimitsAgain() {
        entry.recordAnswer(SERVER, LIMITED, time.nowNanos());
        entry.collectUnreported();
        entry.confirmReport(4);
        entry.confirmReport(5);
        coordinator.merge(entry.collectUnreported());
        assertTrue(coordinator.isLimiting(SERVER));
    }

    @Test
    void reportWithoutAnswerIsRepeated() {
        entry.recordAnswer(SERVER, LIMITED, time.nowNanos());
        entry.collectUnreported();
        assertEquals(1, entry.collectUnreported().size());
    }

    /** Guards against an older report of another VM that ends a limit or imposes one again. */
    @Test
    void olderStatementOfAnotherVmIsIgnored() {
        ServerStatements other = new ServerStatements(time::nowNanos, new Random(1), () -> 0.1);
        other.recordAnswer(SERVER, LIMITED, time.nowNanos());
        advance(100);
        entry.recordAnswer(SERVER, LIMITED, time.nowNanos());
        advance(100);
        entry.recordAnswer(SERVER, ServerStatement.NONE, time.nowNanos());
        entry.merge(other.all());
        assertFalse(entry.isLimiting(SERVER));
    }

    @Test
    void limitDoesNotApplyToAnotherIncarnation() {
        entry.recordAnswer(SERVER, LIMITED, time.nowNanos());
        BackendServer restarted = BackendServerFixture.restarted(SERVER);
        assertFalse(entry.isLimiting(restarted));
        advance(10);
        entry.recordAnswer(restarted, LIMITED, time.nowNanos());
        assertTrue(entry.isLimiting(restarted));
        entry.recordAnswer(SERVER, ServerStatement.NONE, time.nowNanos());
        assertTrue(entry.isLimiting(restarted));
    }

    @Test
    void endsOfLimitsAreForgottenAfterAWhile() {
        entry.recordAnswer(SERVER, LIMITED, time.nowNanos());
        advance(10);
        entry.recordAnswer(SERVER, ServerStatement.NONE, time.nowNanos());
        assertEquals(1, entry.all().size());
        advance(11_000);
        entry.retain(Set.of(SERVER.name()));
        assertEquals(0, entry.all().size());
    }

    @Test
    void permitsAreSpentAndComeBackAtTheStatedRate() {
        coordinator.recordAnswer(SERVER, LIMITED, time.nowNanos());
        assertFalse(coordinator.isPermitted(SERVER));
        assertEquals(500, coordinator.permittedAt(SERVER).remainingMillis(time.nowNanos()), 1);
        advance(501);
        assertTrue(coordinator.isPermitted(SERVER));
        coordinator.acquirePermit(SERVER);
        assertFalse(coordinator.isPermitted(SERVER));
    }
}
