package org.borageproxy.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.borageproxy.drain.ServerEligibility;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.vm.VmName;

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
    private BiPredicate<VmName, Set<String>> relayRule = (relay, allowedRegions) -> true;

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
     * Restricts the VMs through which requests are sent.
     *
     * @param rule returns whether a VM may receive the body of a request, for the regions that the request allows
     */
    public void restrictRelays(BiPredicate<VmName, Set<String>> rule) {
        relayRule = rule;
    }

    /** Returns the servers that requests for some regions must not be sent to. */
    Set<BackendServerName> outside(Set<String> allowedRegions) {
        return servers.current().stream()
                .filter(server -> !eligibility.mayReceive(server, allowedRegions))
                .map(BackendServer::name)
                .collect(Collectors.toSet());
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

    /**
     * Returns whether drains or regions keep a request from servers that would accept it otherwise.
     *
     * @param service the service
     * @param allowedRegions the regions in which the request may run; empty for any
     * @return {@code true} if waiting a short time for a server is of no use when none accepts the request
     */
    boolean areRuledOut(String service, Set<String> allowedRegions) {
        return servers.current().stream()
                .anyMatch(server -> server.state() != BackendServerState.LEAVING
                        && server.services().contains(service)
                        && !refreshIsGone(server)
                        && !eligibility.mayReceive(server, allowedRegions));
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
     * @param relay the VM through which it would be sent; empty for none
     * @return the reason, for logs; empty if the request may be sent
     */
    Optional<String> obstacle(BackendServer selected, Set<String> allowedRegions, Optional<VmName> relay) {
        if (!isCurrent(selected)) {
            return Optional.of("server left or restarted before the request was sent");
        }
        if (!eligibility.mayReceive(selected, allowedRegions)) {
            return Optional.of("zone of the server was drained or is not allowed");
        }
        return relay.isEmpty() || relayRule.test(relay.get(), allowedRegions)
                ? Optional.empty()
                : Optional.of("region of the VM on the way to the server is not allowed");
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
