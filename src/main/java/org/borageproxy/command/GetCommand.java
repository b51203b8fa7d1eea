package org.borageproxy.command;

import java.io.PrintStream;

import io.vertx.core.http.HttpMethod;
import org.kohsuke.args4j.Option;

/** Prints the settings tree, or the effective values. Not thread safe. */
final class GetCommand extends OperatorCommand {

    @Option(name = "--effective", usage = "print the effective values and the branch that each one comes from")
    private boolean effective;

    @Override
    OperatorClient.Response call(OperatorClient client) {
        return client.call(HttpMethod.GET, effective ? "/v1/effective" : "/v1/tree", null);
    }

    @Override
    void printResponse(OperatorClient.Response response, PrintStream output) {
        String document = response.body().getString("document");
        if (document == null) {
            super.printResponse(response, output);
            return;
        }
        output.println("# revision " + response.body().getLong("revision"));
        output.print(document);
    }
}
