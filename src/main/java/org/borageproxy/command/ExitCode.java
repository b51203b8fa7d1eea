package org.borageproxy.command;

/** The exit codes of the executable. Numbers are never reused. */
public enum ExitCode {
    /** The command did what was asked. */
    DONE(0),
    /** The command was refused or failed, and changed nothing. */
    REFUSED(1),
    /** The arguments were wrong. */
    USAGE(2),
    /** The settings or the tree have faults. */
    INVALID(3),
    /** No VM answered, or the outcome is unknown; the command may be given again. */
    UNKNOWN(4),
    /** A check of the product's promises failed. */
    CHECK_FAILED(5);

    /** The number that the process ends with. */
    private final int number;

    /**
     * Creates an exit code.
     *
     * @param number the number that the process ends with
     */
    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the number that the process ends with.
     *
     * @return the number
     */
    public int number() {
        return number;
    }
}
