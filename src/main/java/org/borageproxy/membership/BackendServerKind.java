package org.borageproxy.membership;

/** Kind of a backend server. */
public enum BackendServerKind {
    /** A model engine, which generates tokens. */
    ENGINE,
    /** A plain HTTP service. */
    SERVICE
}
