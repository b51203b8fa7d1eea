package org.borageproxy.command;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;

/** Shuts the first given VM down gracefully. Used by one thread. */
final class DrainCommand extends OperatorCommand {

    @Override
    OperatorClient.Answer call(OperatorClient client) {
        return client.call(HttpMethod.POST, "/v1/drain", new JsonObject());
    }
}
