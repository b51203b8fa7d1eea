package org.borageproxy.command;

import io.vertx.core.http.HttpMethod;

/** Prints the state of the VMs and the configuration revision that each one serves. Not thread safe. */
final class StatusCommand extends OperatorCommand {

    @Override
    OperatorClient.Response call(OperatorClient client) {
        return client.call(HttpMethod.GET, "/v1/status", null);
    }
}
