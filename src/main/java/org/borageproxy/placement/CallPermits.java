package org.borageproxy.placement;

import org.borageproxy.membership.BackendServer;

/**
 * Permits for calls to engines that limit their requests, which the calls share with the requests of callers, or that
 * want none from this VM for a time. Not thread safe; confined to the event loop of the placement.
 */
public interface CallPermits {

    /**
     * Returns whether an engine limits its requests, so that it should not get further models.
     *
     * @param engine the engine
     * @return {@code true} while the engine states a limit
     */
    boolean isLimiting(BackendServer engine);

    /**
     * Returns whether a call may be sent to an engine now.
     *
     * @param engine the engine
     * @return {@code true} for an engine that states no limit and has not refused this VM
     */
    boolean isPermitted(BackendServer engine);

    /**
     * Uses the permit for a call.
     *
     * @param engine the engine
     */
    void acquirePermit(BackendServer engine);
}
