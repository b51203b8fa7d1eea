package org.borageproxy.command;

import java.io.PrintStream;

import io.vertx.core.http.HttpMethod;
import org.kohsuke.args4j.Option;

/** Prints the settings tree. Used by one thread. */
final class GetCommand extends OperatorCommand {

    /** Whether to print the values in force with the branch that each came from. */
    @Option(name = "--effective", usage = "print the values in force and the branch that each came from")
    private boolean effective;

    @Override
    OperatorClient.Answer call(OperatorClient client) {
        return client.call(HttpMethod.GET, effective ? "/v1/effective" : "/v1/tree", null);
    }

    @Override
    void print(OperatorClient.Answer answer, PrintStream output) {
        String document = answer.body().getString("document");
        if (document == null) {
            super.print(answer, output);
            return;
        }
        output.println("# revision " + answer.body().getLong("revision"));
        output.print(document);
    }
}
