package org.borageproxy.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The latest statement of each backend server about its capacity, as this VM knows it. A statement belongs to one
 * incarnation of the server. Not thread safe; confined to one event loop.
 */
public final class ServerStatements {

    private static final Logger LOGGER = LoggerFactory.getLogger(ServerStatements.class);

    private final Map<BackendServerName, Known> known = new HashMap<>();

    private record Known(long incarnation, ServerStatement statement) {}

    /**
     * Records the statement in an answer.
     *
     * @param server the server that answered
     * @param statement the statement
     */
    public void recordAnswer(BackendServer server, ServerStatement statement) {
        Known previous = known.get(server.name());
        boolean isKnown = previous != null && previous.incarnation() == server.incarnation();
        ServerStatement previousStatement = isKnown ? previous.statement() : ServerStatement.NONE;
        if (!statement.equals(previousStatement)) {
            known.put(server.name(), new Known(server.incarnation(), statement));
            LOGGER.info(
                    "event=server-stated server={} incarnation={} {} source=answer",
                    server.name(),
                    server.incarnation(),
                    statement);
        }
    }

    /**
     * Removes the statements of servers that are no longer announced.
     *
     * @param announced the announced servers
     */
    public void retain(Set<BackendServerName> announced) {
        known.keySet().retainAll(announced);
    }
}
