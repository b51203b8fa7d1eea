package org.borageproxy.routing;

import java.time.Duration;

import org.borageproxy.membership.BackendServerName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests slots at backend servers and their circuit breakers, with time passed as an argument. */
class ServerTableTest {

    private static final BackendServerName SERVER = new BackendServerName("engine-1");
    private final ServerTable table = new ServerTable();

    @Test
    void exclusiveRequestRunsAlone() {
        assertTrue(table.acquire(SERVER, false, 0));
        assertFalse(table.acquire(SERVER, true, 0));
        table.release(SERVER, false, circuit -> circuit);
        assertTrue(table.acquire(SERVER, true, 0));
        assertFalse(table.acquire(SERVER, false, 0));
        table.release(SERVER, true, circuit -> circuit);
        assertTrue(table.acquire(SERVER, false, 0));
    }

    @Test
    void reservedServerRejectsOtherRequestsAndIsAcquiredOnceIdle() {
        assertTrue(table.acquire(SERVER, false, 0));
        assertTrue(table.reserve(SERVER));
        assertFalse(table.reserve(SERVER));
        assertFalse(table.acquire(SERVER, false, 0));
        assertFalse(table.acquireReserved(SERVER));
        table.release(SERVER, false, circuit -> circuit);
        assertFalse(table.acquire(SERVER, false, 0));
        assertTrue(table.acquireReserved(SERVER));
        table.release(SERVER, true, circuit -> circuit);
        assertEquals(ServerTable.Usage.IDLE, table.usage(SERVER));
    }

    @Test
    void circuitOpensAfterConsecutiveFailuresAndAdmitsOneProbeAtATime() {
        for (int failure = 0; failure < CircuitBreaker.FAILURE_THRESHOLD; failure++) {
            table.acquire(SERVER, false, 0);
            table.release(SERVER, false, circuit -> circuit.afterFailure(0));
        }
        CircuitBreaker open = table.usage(SERVER).circuit();
        assertTrue(open.isOpen());
        long due = Duration.ofMillis(500).toNanos();
        assertFalse(open.mayProbe(due - 1));
        assertTrue(open.mayProbe(due));
        table.acquire(SERVER, false, due);
        assertFalse(table.usage(SERVER).circuit().mayProbe(due));
        table.release(SERVER, false, circuit -> circuit.afterFailure(due));
        assertFalse(table.usage(SERVER).circuit().mayProbe(2 * due));
        assertTrue(table.usage(SERVER).circuit().mayProbe(3 * due));
        table.release(SERVER, false, circuit -> circuit.afterSuccess(10));
        assertFalse(table.usage(SERVER).circuit().isOpen());
    }
}
