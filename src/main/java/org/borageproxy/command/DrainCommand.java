package org.borageproxy.command;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;

/** Shuts a VM down gracefully: the first of the given VMs that accepts the call. Not thread safe. */
final class DrainCommand extends OperatorCommand {

    @Override
    OperatorClient.Response call(OperatorClient client) {
        return client.call(HttpMethod.POST, "/v1/drain", new JsonObject());
    }
}
