package org.borageproxy.command;

/** Ends a command with a message and an exit code. Immutable and thread safe. */
final class CommandFailure extends RuntimeException {

    /** The exit code. */
    private final ExitCode exitCode;

    /**
     * Creates a failure.
     *
     * @param exitCode the exit code
     * @param message one line for the operator
     */
    CommandFailure(ExitCode exitCode, String message) {
        super(message, null, false, false);
        this.exitCode = exitCode;
    }

    /**
     * Returns the exit code.
     *
     * @return the exit code
     */
    ExitCode exitCode() {
        return exitCode;
    }
}
