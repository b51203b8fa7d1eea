package org.borageproxy.command;

import java.io.PrintStream;

import org.borageproxy.result.ResultCode;

/** A command that makes one call to the operators' interface. Used by one thread. */
abstract class OperatorCommand extends OperatorOptions implements Command {

    @Override
    public final ExitCode run(PrintStream output) throws Exception {
        try (OperatorClient client = client()) {
            OperatorClient.Answer answer = call(client);
            print(answer, output);
            return exitCodeOf(answer);
        }
    }

    /**
     * Makes the call.
     *
     * @param client the client
     * @return the answer
     * @throws Exception if the arguments cannot be used
     */
    abstract OperatorClient.Answer call(OperatorClient client) throws Exception;

    /**
     * Prints the answer.
     *
     * @param answer the answer
     * @param output takes the text
     */
    void print(OperatorClient.Answer answer, PrintStream output) {
        output.println(answer.body().encodePrettily());
    }

    /**
     * Returns the exit code for an answer.
     *
     * @param answer the answer
     * @return the exit code
     */
    static ExitCode exitCodeOf(OperatorClient.Answer answer) {
        if (answer.isSuccess()) {
            return ExitCode.DONE;
        }
        if (answer.resultNumber() == ResultCode.OUTCOME_UNKNOWN.number()) {
            return ExitCode.UNKNOWN;
        }
        return answer.resultNumber() == ResultCode.CHANGE_INVALID.number() ? ExitCode.INVALID : ExitCode.REFUSED;
    }
}
