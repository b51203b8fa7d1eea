package org.borageproxy.log.storage;

import java.nio.file.Path;

/**
 * The reason why a member must not start or continue on its files. Immutable and thread safe.
 *
 * @param kind the kind of fault
 * @param file the affected file, or the data folder if log entries or the snapshot before them are missing
 * @param offset the byte offset at which the fault was found, zero if it concerns the whole file; the index in the log
 *     if entries are missing
 * @param detail a description of the fault
 */
public record StorageFault(Kind kind, Path file, long offset, String detail) {

    /** The kinds of faults. */
    public enum Kind {
        /** The folder has no identity file: neither bootstrap nor join has completed there. */
        NO_IDENTITY,
        /** The folder already holds a member. */
        ALREADY_MEMBER,
        /** A file that the member wrote no longer exists. */
        MISSING_FILE,
        /** The content of a file differs from what was written. */
        DAMAGED,
        /** Another process uses the folder. */
        IN_USE,
        /** Reading or writing failed. */
        INPUT_OUTPUT
    }

    @Override
    public String toString() {
        return kind + " file=" + file + " offset=" + offset + " detail=\"" + detail + '"';
    }
}
