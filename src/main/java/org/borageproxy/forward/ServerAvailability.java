package org.borageproxy.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.borageproxy.drain.ServerEligibility;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.BackendServers;

/**
 * Which servers accept requests at all: announced ones that neither leave nor are gone, outside drained zones and in
 * allowed regions. A server that was marked as gone gets no requests until a later heartbeat. Not thread safe; confined
 * to one event loop.
 */
public final class ServerAvailability {

    private final BackendServers servers;
    private final Map<BackendServerName, Long> goneIncarnations = new HashMap<>();
    private Consumer<BackendServer> goneListener = server -> {};
    private ServerEligibility eligibility = ServerEligibility.ANY;

    ServerAvailability(BackendServers servers) {
        this.servers = servers;
    }

    /**
     * Restricts the servers that may receive requests.
     *
     * @param rules decides for each server; asked for each choice and before each request is sent
     */
    public void restrict(ServerEligibility rules) {
        eligibility = rules;
    }

    /**
     * Sets the listener for servers that are marked as gone.
     *
     * @param listener receives each server immediately before it is marked; must make its state suspect, since the mark
     *     of a server whose state is alive is removed
     */
    void onGone(Consumer<BackendServer> listener) {
        goneListener = listener;
    }

    /**
     * Marks a server as gone, because nothing, or another server, answers at its address.
     *
     * @param server the server
     */
    void markGone(BackendServer server) {
        goneListener.accept(server);
        goneIncarnations.put(server.name(), server.incarnation());
    }

    /**
     * Returns whether a server accepts requests for a service.
     *
     * @param server the server
     * @param service the service
     * @param allowedRegions the regions in which the request may run; empty for any
     * @return {@code false} if no request may be sent to the server
     */
    boolean acceptsWork(BackendServer server, String service, Set<String> allowedRegions) {
        return server.state() != BackendServerState.LEAVING
                && server.services().contains(service)
                && !refreshIsGone(server)
                && eligibility.mayReceive(server, allowedRegions);
    }

    /** Returns whether a server is marked as gone, after removing the mark if a later heartbeat made it alive again. */
    private boolean refreshIsGone(BackendServer server) {
        boolean isKnownGone = Long.valueOf(server.incarnation()).equals(goneIncarnations.get(server.name()));
        if (isKnownGone && server.state() == BackendServerState.ALIVE) {
            goneIncarnations.remove(server.name());
            return false;
        }
        return isKnownGone;
    }

    /**
     * Returns what keeps a request from being sent to a server that was selected earlier.
     *
     * @param selected the server
     * @param allowedRegions the regions in which the request may run; empty for any
     * @return the reason, for logs; empty if the request may be sent
     */
    Optional<String> obstacle(BackendServer selected, Set<String> allowedRegions) {
        if (!isCurrent(selected)) {
            return Optional.of("server left or restarted before the request was sent");
        }
        return eligibility.mayReceive(selected, allowedRegions)
                ? Optional.empty()
                : Optional.of("zone of the server was drained or is not allowed");
    }

    /**
     * Returns whether an incarnation of a server is still announced with its software version and not leaving.
     *
     * @param selected the server
     * @return {@code false} if the server is leaving, left, restarted or announces another software version
     */
    boolean isCurrent(BackendServer selected) {
        return servers.current().stream()
                .anyMatch(server -> server.name().equals(selected.name())
                        && server.incarnation() == selected.incarnation()
                        && server.softwareVersion().equals(selected.softwareVersion())
                        && server.state() != BackendServerState.LEAVING);
    }

    /** Removes the marks of servers that are no longer announced. */
    void retain(Set<BackendServerName> announced) {
        goneIncarnations.keySet().retainAll(announced);
    }
}
