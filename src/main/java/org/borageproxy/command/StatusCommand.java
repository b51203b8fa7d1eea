package org.borageproxy.command;

import io.vertx.core.http.HttpMethod;

/** Prints the state of the VMs and the revision that each serves. Used by one thread. */
final class StatusCommand extends OperatorCommand {

    @Override
    OperatorClient.Answer call(OperatorClient client) {
        return client.call(HttpMethod.GET, "/v1/status", null);
    }
}
