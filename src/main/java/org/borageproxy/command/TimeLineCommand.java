package org.borageproxy.command;

import java.io.PrintStream;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import org.kohsuke.args4j.Option;

/** Prints the events of all VMs in one order. Used by one thread. */
final class TimeLineCommand extends OperatorCommand {

    /** The time after which events are printed, in milliseconds since 1970. */
    @Option(name = "--after", metaVar = "MILLIS", usage = "print events after this time, in milliseconds since 1970")
    private long afterMillis;

    /** The largest number of events from each VM. */
    @Option(name = "--most", metaVar = "COUNT", usage = "largest number of events from each VM")
    private int most = 1_000;

    @Override
    OperatorClient.Answer call(OperatorClient client) {
        return client.call(HttpMethod.GET, "/v1/timeline?after=" + afterMillis + "&most=" + most, null);
    }

    @Override
    void print(OperatorClient.Answer answer, PrintStream output) {
        JsonArray lines = answer.body().getJsonArray("lines");
        if (lines == null) {
            super.print(answer, output);
            return;
        }
        lines.forEach(output::println);
        JsonArray silent = answer.body().getJsonArray("silent", new JsonArray());
        silent.forEach(vm -> output.println("# no answer from " + vm));
    }
}
