package org.borageproxy.membership;

import java.util.List;

/** A view of all backend servers. Implementations are safe for use by any thread. */
@FunctionalInterface
public interface BackendServers {

    /**
     * Returns the backend servers known now.
     *
     * @return an immutable list
     */
    List<BackendServer> current();
}
