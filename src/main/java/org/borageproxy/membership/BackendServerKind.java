package org.borageproxy.membership;

/** What a backend server runs. */
public enum BackendServerKind {
    /** A model engine that generates tokens. */
    ENGINE,
    /** A plain HTTP service. */
    SERVICE
}
