package org.borageproxy.membership;

import java.util.List;

/** View of all backend servers. Implementations are thread safe. */
@FunctionalInterface
public interface BackendServers {

    /**
     * Returns the current backend servers.
     *
     * @return an immutable list
     */
    List<BackendServer> current();
}
