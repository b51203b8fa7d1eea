package org.borageproxy.membership;

/** Whether a backend server may be given work. */
public enum BackendServerState {
    /** The backend server announces itself and gets work. */
    ALIVE,
    /** Heartbeats are missing; the backend server gets work only if no other can run it. */
    SUSPECT,
    /** The backend server is leaving; it gets no new work and ends what it runs. */
    LEAVING
}
