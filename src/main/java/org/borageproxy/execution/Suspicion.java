package org.borageproxy.execution;

/** Whether a request is suspected of crashing backend servers. */
public enum Suspicion {
    /** No backend server has crashed while it ran the request. */
    NONE,
    /** One backend server crashed while it ran the request, which therefore runs alone if it runs again. */
    SUSPECT,
    /** Backend servers crashed while they ran the request alone or repeatedly; it is not run again. */
    QUARANTINED
}
