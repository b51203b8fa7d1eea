package org.borageproxy.buffer;

import java.time.Duration;

/**
 * A refusal to buffer bytes. Immutable and thread safe.
 *
 * @param bound the bound that would have been exceeded
 * @param heldBytes the bytes that are held under the bound
 * @param limitBytes the bound in bytes
 * @param roomAfter the estimated time until there is room
 * @param mayWait whether requests that are not to be refused hold enough under the bound, so that room comes when they
 *     end
 */
public record Shortage(Bound bound, long heldBytes, long limitBytes, Duration roomAfter, boolean mayWait)
        implements ReservationResult {

    /** Bounds on buffered bytes. */
    public enum Bound {
        /** The bound on all requests. */
        TOTAL,
        /** The bound on the requests of one workspace. */
        WORKSPACE,
        /** The bound on the requests of one caller. */
        CALLER,
        /** The bound on what is written to one backend server. */
        SERVER
    }
}
