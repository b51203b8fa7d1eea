package org.borageproxy.command;

import java.io.PrintStream;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import org.kohsuke.args4j.Option;

/** Prints the events of all VMs in the order of their hybrid timestamps. Not thread safe. */
final class TimeLineCommand extends OperatorCommand {

    @Option(
            name = "--after",
            metaVar = "MILLIS",
            usage = "print events after this time, in milliseconds since the epoch")
    private long afterMillis;

    @Option(name = "--most", metaVar = "COUNT", usage = "maximum number of events of each VM")
    private int maxEvents = 1_000;

    @Override
    OperatorClient.Response call(OperatorClient client) {
        return client.call(HttpMethod.GET, "/v1/timeline?after=" + afterMillis + "&most=" + maxEvents, null);
    }

    @Override
    void printResponse(OperatorClient.Response response, PrintStream output) {
        JsonArray lines = response.body().getJsonArray("lines");
        if (lines == null) {
            super.printResponse(response, output);
            return;
        }
        lines.forEach(output::println);
        JsonArray unreachable = response.body().getJsonArray("silent", new JsonArray());
        unreachable.forEach(vm -> output.println("# no answer from " + vm));
    }
}
