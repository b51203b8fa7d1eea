package org.borageproxy.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.UnaryOperator;

import org.borageproxy.membership.BackendServerName;

/**
 * What this VM has under way at each backend server, and what its requests showed of it. A server that runs an
 * exclusive request runs no other request of this VM. Safe for use by any thread; its lock is a leaf.
 */
public final class ServerTable {

    /** The entries by backend server. */
    private final Map<BackendServerName, Usage> usages = new HashMap<>();

    /**
     * Returns what is known of a backend server.
     *
     * @param server the backend server
     * @return its usage
     */
    public synchronized Usage usage(BackendServerName server) {
        return usages.getOrDefault(server, Usage.IDLE);
    }

    /**
     * Takes a place at a backend server.
     *
     * @param server the backend server
     * @param exclusive whether the request must run alone
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return {@code true} if the place was taken and must be given back
     */
    public synchronized boolean acquire(BackendServerName server, boolean exclusive, long nowNanos) {
        Usage usage = usage(server);
        if (usage.exclusive() || (exclusive && usage.inFlight() > 0)) {
            return false;
        }
        CircuitBreaker circuit =
                usage.circuit().mayProbe(nowNanos) ? usage.circuit().withProbe() : usage.circuit();
        usages.put(server, new Usage(usage.inFlight() + 1, exclusive, circuit));
        return true;
    }

    /**
     * Gives a place back and records what the request showed.
     *
     * @param server the backend server
     * @param exclusive whether the request ran alone
     * @param observation how the circuit changes
     */
    public synchronized void release(
            BackendServerName server, boolean exclusive, UnaryOperator<CircuitBreaker> observation) {
        Usage usage = usage(server);
        CircuitBreaker circuit = observation.apply(usage.circuit());
        boolean stillExclusive = usage.exclusive() && !exclusive;
        usages.put(server, new Usage(Math.max(0, usage.inFlight() - 1), stillExclusive, circuit));
    }

    /**
     * Reserves a backend server for a request that must run alone: it gets no other request of this VM.
     *
     * @param server the backend server
     * @return {@code true} if it is reserved and must be occupied or given up
     */
    public synchronized boolean reserve(BackendServerName server) {
        Usage usage = usage(server);
        if (usage.exclusive()) {
            return false;
        }
        usages.put(server, new Usage(usage.inFlight(), true, usage.circuit()));
        return true;
    }

    /**
     * Takes the place on a reserved backend server once it runs nothing else.
     *
     * @param server the reserved backend server
     * @return {@code true} if the place was taken and must be given back
     */
    public synchronized boolean acquireReserved(BackendServerName server) {
        Usage usage = usage(server);
        if (!usage.exclusive() || usage.inFlight() > 0) {
            return false;
        }
        usages.put(server, new Usage(1, true, usage.circuit()));
        return true;
    }

    /**
     * Gives a reservation up that was not occupied.
     *
     * @param server the reserved backend server
     */
    public synchronized void cancelReservation(BackendServerName server) {
        Usage usage = usage(server);
        usages.put(server, new Usage(usage.inFlight(), false, usage.circuit()));
    }

    /**
     * What is known of one backend server.
     *
     * @param inFlight requests of this VM that it runs
     * @param exclusive whether one of them runs alone
     * @param circuit what recent requests showed
     */
    public record Usage(int inFlight, boolean exclusive, CircuitBreaker circuit) {

        /** The usage of a backend server without a past. */
        public static final Usage IDLE = new Usage(0, false, CircuitBreaker.CLOSED);
    }
}
