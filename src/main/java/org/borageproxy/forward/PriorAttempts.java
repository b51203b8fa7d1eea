package org.borageproxy.forward;

import java.util.Collections;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.membership.BackendServerName;
import org.borageproxy.time.Deadline;

/**
 * What the attempts of one request have shown so far: the servers that were tried, and how many attempts can have
 * started the request. Not thread safe; confined to one event loop.
 */
final class PriorAttempts {

    /** Maximum number of sends of one request, including those that a server refused. */
    private static final int MAX_SENDS = 4;
    /** Number of slots that may expire unused before this VM selects the server itself. */
    private static final int MAX_EXPIRED_SLOTS = 1;

    private final Set<BackendServerName> triedServers = new HashSet<>();
    private final Set<BackendServerName> serversWithoutModel = new HashSet<>();
    private final Set<BackendServerName> goneServers = new HashSet<>();
    private final Set<ServerConnection> connections = new HashSet<>();
    private int expiredSlots;
    private Optional<Deadline> answersEnd = Optional.empty();
    private int sends;
    private int possibleRuns;

    /**
     * Returns the servers that must not be selected again.
     *
     * @return a view that grows with the attempts
     */
    Set<BackendServerName> triedServers() {
        return Collections.unmodifiableSet(triedServers);
    }

    /**
     * Returns the servers that refused the request because the model or adapter is not loaded.
     *
     * @return a view that grows with the attempts
     */
    Set<BackendServerName> serversWithoutModel() {
        return Collections.unmodifiableSet(serversWithoutModel);
    }

    /**
     * Returns the servers at whose address nothing, or another server, answered.
     *
     * @return a view that grows with the attempts
     */
    Set<BackendServerName> goneServers() {
        return Collections.unmodifiableSet(goneServers);
    }

    /**
     * Returns the number of sends.
     *
     * @return the number, with those that a server refused
     */
    int sends() {
        return sends;
    }

    /**
     * Returns whether a server may have started the request.
     *
     * @return {@code false} if every server that got it has stated that it did not run it
     */
    boolean mayHaveRun() {
        return possibleRuns > 0;
    }

    /**
     * Records that this VM stops and takes no new requests.
     *
     * @param newAnswersEnd when requests in flight are aborted
     */
    void beginStop(Deadline newAnswersEnd) {
        answersEnd = Optional.of(newAnswersEnd);
    }

    /**
     * Returns when a VM that stops and takes no new requests aborts those in flight.
     *
     * @return empty if requests are sent without a limit
     */
    Optional<Deadline> answersEnd() {
        return answersEnd;
    }

    /**
     * Returns whether the number of attempts allows another one.
     *
     * @param maximumRuns the number of attempts of the route that can have started the request
     * @return {@code false} if either maximum is reached
     */
    boolean allowAnother(int maximumRuns) {
        return sends < MAX_SENDS && possibleRuns < maximumRuns;
    }

    /**
     * Records that a server is tried.
     *
     * @param server the server, which must not be selected again
     */
    void recordTried(BackendServerName server) {
        triedServers.add(server);
    }

    /**
     * Records that the request was not sent to a server since the slot there had expired.
     *
     * @param server the server, which may be selected again
     */
    void recordSlotExpired(BackendServerName server) {
        triedServers.remove(server);
        expiredSlots++;
    }

    /**
     * Returns whether the coordinator may be asked for a slot.
     *
     * @return {@code false} if slots have expired repeatedly, since this VM is too slow to use them
     */
    boolean mayAskForSlot() {
        return expiredSlots <= MAX_EXPIRED_SLOTS;
    }

    /**
     * Records that the request is sent, and may run.
     *
     * @param connection the connection, which must not carry the request again
     */
    void recordSent(ServerConnection connection) {
        sends++;
        possibleRuns++;
        connections.add(connection);
    }

    /**
     * Returns whether a connection may carry the request. A server may answer a request a second time, when the next
     * answer on the connection is due; the identity of the request does not tell such a copy from the answer to a later
     * sending of the same request.
     *
     * @param connection the connection
     * @return {@code false} if the request was sent on the connection before
     */
    boolean mayUse(ServerConnection connection) {
        return !connections.contains(connection);
    }

    /** Records that the server of the latest attempt has stated that it did not run the request. */
    void recordNotRun() {
        possibleRuns--;
    }

    /**
     * Records that a server refused the request because the model or adapter is not loaded; it may be selected once it
     * is.
     *
     * @param server the server
     */
    void recordWithoutModel(BackendServerName server) {
        triedServers.remove(server);
        serversWithoutModel.add(server);
    }

    /**
     * Records that nothing, or another server, answered at the address of a server.
     *
     * @param server the server
     */
    void recordGone(BackendServerName server) {
        goneServers.add(server);
    }
}
