package org.borageproxy.command;

import java.io.PrintStream;

import org.borageproxy.result.ResultCode;

/** A command that calls the operators' interface and prints the response. Not thread safe. */
abstract class OperatorCommand extends OperatorOptions implements Command {

    @Override
    public final ExitCode run(PrintStream output) throws Exception {
        try (OperatorClient client = openClient()) {
            OperatorClient.Response response = call(client);
            printResponse(response, output);
            return exitCodeOf(response);
        }
    }

    /**
     * Performs the call of this command.
     *
     * @param client the client
     * @return the response
     * @throws Exception if the arguments are invalid or a file cannot be read
     */
    abstract OperatorClient.Response call(OperatorClient client) throws Exception;

    /**
     * Prints the response, by default as formatted JSON.
     *
     * @param response the response, possibly an error
     * @param output the stream to print to
     */
    void printResponse(OperatorClient.Response response, PrintStream output) {
        output.println(response.body().encodePrettily());
    }

    /**
     * Returns the exit code that corresponds to a response.
     *
     * @param response the response
     * @return the exit code
     */
    static ExitCode exitCodeOf(OperatorClient.Response response) {
        if (response.isSuccess()) {
            return ExitCode.DONE;
        }
        if (response.resultNumber() == ResultCode.OUTCOME_UNKNOWN.number()) {
            return ExitCode.UNKNOWN;
        }
        return response.resultNumber() == ResultCode.CHANGE_INVALID.number() ? ExitCode.INVALID : ExitCode.REFUSED;
    }
}
