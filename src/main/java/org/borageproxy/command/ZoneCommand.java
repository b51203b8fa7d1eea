package org.borageproxy.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import org.borageproxy.platform.ZoneClient;
import org.borageproxy.settings.Endpoint;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Drains, returns or lists zones of a fleet on the platform. Not thread safe. */
abstract class ZoneCommand implements Command {

    @Option(
            name = "--control",
            required = true,
            metaVar = "HOST:PORT",
            usage = "address of a control VM for operators; may be repeated, in the order in which they are tried")
    private List<String> addresses = new ArrayList<>();

    ZoneClient openClient() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (String address : addresses) {
            endpoints.add(OperatorOptions.parseEndpoint(address));
        }
        return new ZoneClient(endpoints);
    }

    /** Orders that nothing be sent to the servers of a zone, or withdraws that. Not thread safe. */
    static final class Order extends ZoneCommand {

        private final boolean isDrain;

        @Argument(index = 0, required = true, metaVar = "ZONE", usage = "availability zone")
        private String zone;

        Order(boolean isDrain) {
            this.isDrain = isDrain;
        }

        @Override
        public ExitCode run(PrintStream output) throws Exception {
            ZoneClient.Outcome outcome = openClient().order(zone, isDrain);
            return switch (outcome) {
                case ACKNOWLEDGED -> {
                    output.println((isDrain ? "drained " : "returned ") + zone);
                    yield ExitCode.DONE;
                }
                case UNKNOWN_ZONE -> throw new CommandFailure(ExitCode.REFUSED, "no zone '" + zone + "'");
                default -> throw new CommandFailure(ExitCode.UNKNOWN, "no control VM acknowledged the order");
            };
        }
    }

    /** Prints the drained zones. Not thread safe. */
    static final class ListDrained extends ZoneCommand {

        @Override
        public ExitCode run(PrintStream output) throws Exception {
            output.println(openClient()
                    .read()
                    .orElseThrow(() -> new CommandFailure(ExitCode.UNKNOWN, "no control VM confirmed its state")));
            return ExitCode.DONE;
        }
    }
}
