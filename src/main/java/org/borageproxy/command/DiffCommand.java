package org.borageproxy.command;

import io.vertx.core.http.HttpMethod;
import org.kohsuke.args4j.Argument;

/** Prints what differs between two revisions. Used by one thread. */
final class DiffCommand extends OperatorCommand {

    /** The earlier revision. */
    @Argument(index = 0, required = true, metaVar = "FROM", usage = "the earlier revision")
    private long from;

    /** The later revision. */
    @Argument(index = 1, required = true, metaVar = "TO", usage = "the later revision")
    private long to;

    @Override
    OperatorClient.Answer call(OperatorClient client) {
        return client.call(HttpMethod.GET, "/v1/diff?from=" + from + "&to=" + to, null);
    }
}
