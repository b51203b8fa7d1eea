package org.borageproxy.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.UnaryOperator;

import org.borageproxy.membership.BackendServerName;

/**
 * Requests that this VM has in flight at each backend server, with the servers' circuit breakers. A server that runs an
 * exclusive request runs no other request of this VM. Thread safe; no other lock is acquired while its lock is held.
 */
public final class ServerTable {

    private final Map<BackendServerName, Usage> usages = new HashMap<>();

    /**
     * Returns the usage of a backend server.
     *
     * @param server the backend server
     * @return {@link Usage#IDLE} if no request was sent to it
     */
    public synchronized Usage usage(BackendServerName server) {
        return usages.getOrDefault(server, Usage.IDLE);
    }

    /**
     * Acquires a slot at a backend server. The request counts as the probe if the circuit is due for one.
     *
     * @param server the backend server
     * @param exclusive whether the request must run alone
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return {@code true} if the slot was acquired and must be released
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
     * Releases a slot and records the outcome of the request.
     *
     * @param server the backend server
     * @param exclusive whether the request ran alone
     * @param observation maps the circuit breaker to its state after the request
     */
    public synchronized void release(
            BackendServerName server, boolean exclusive, UnaryOperator<CircuitBreaker> observation) {
        Usage usage = usage(server);
        CircuitBreaker circuit = observation.apply(usage.circuit());
        boolean isStillExclusive = usage.exclusive() && !exclusive;
        usages.put(server, new Usage(Math.max(0, usage.inFlight() - 1), isStillExclusive, circuit));
    }

    /**
     * Reserves a backend server for a request that must run alone: no other request of this VM can acquire a slot
     * there.
     *
     * @param server the backend server, which may still run requests
     * @return {@code true} if it was reserved; the caller must then acquire or cancel the reservation
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
     * Acquires the slot of a reserved backend server once no other request of this VM runs there.
     *
     * @param server the reserved backend server
     * @return {@code true} if the slot was acquired and must be released
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
     * Cancels a reservation whose slot was not acquired.
     *
     * @param server the reserved backend server
     */
    public synchronized void cancelReservation(BackendServerName server) {
        Usage usage = usage(server);
        usages.put(server, new Usage(usage.inFlight(), false, usage.circuit()));
    }

    /**
     * This VM's use of one backend server.
     *
     * @param inFlight the number of requests of this VM in flight
     * @param exclusive whether the server is reserved for, or runs, an exclusive request
     * @param circuit the circuit breaker
     */
    public record Usage(int inFlight, boolean exclusive, CircuitBreaker circuit) {

        /** The usage of a backend server to which no request was sent. */
        public static final Usage IDLE = new Usage(0, false, CircuitBreaker.CLOSED);
    }
}
