package org.borageproxy.command;

/**
 * Terminates a command with an error message and an exit code. Without stack trace, since it reports an expected
 * failure. Immutable and thread safe.
 */
final class CommandFailure extends RuntimeException {

    private final ExitCode exitCode;

    /**
     * Creates a failure.
     *
     * @param exitCode the exit code of the process
     * @param message the message for the operator
     */
    CommandFailure(ExitCode exitCode, String message) {
        super(message, null, false, false);
        this.exitCode = exitCode;
    }

    /**
     * Returns the exit code of the process.
     *
     * @return the exit code
     */
    ExitCode exitCode() {
        return exitCode;
    }
}
