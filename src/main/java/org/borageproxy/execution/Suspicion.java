package org.borageproxy.execution;

/** What the fleet knows of requests that were running when a backend server ended. */
public enum Suspicion {
    /** The request was never running when a backend server ended. */
    NONE,
    /** The request was running when one backend server ended, and runs alone if it runs again. */
    SUSPECT,
    /** The request was running alone, or repeatedly, when backend servers ended, and is not run again. */
    QUARANTINED
}
