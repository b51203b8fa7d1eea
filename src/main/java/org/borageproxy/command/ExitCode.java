package org.borageproxy.command;

/** The exit codes of the executable. Numbers are stable and never reused, since scripts match them. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The command was rejected or failed. */
    REFUSED(1),
    /** The arguments are invalid. */
    USAGE(2),
    /** An input is invalid or unreadable: a settings file, a settings tree, or a log. */
    INVALID(3),
    /** No VM answered, or the outcome is unknown; the command may be repeated with the same identity. */
    UNKNOWN(4),
    /** A check of the system's guarantees failed. */
    CHECK_FAILED(5);

    private final int number;

    /**
     * Creates a constant.
     *
     * @param number the exit status of the process
     */
    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the stable number
     */
    public int number() {
        return number;
    }
}
