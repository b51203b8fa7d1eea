package org.borageproxy.log.storage;

import java.nio.file.Path;

/**
 * Why a member must not start or go on with its files. Immutable and thread safe.
 *
 * @param kind the kind of fault
 * @param file the file at fault
 * @param offset the byte at which the fault was found
 * @param detail what was found
 */
public record StorageFault(Kind kind, Path file, long offset, String detail) {

    /** The kinds of faults. */
    public enum Kind {
        /** The folder holds no identity: neither bootstrap nor join made it. */
        NO_IDENTITY,
        /** The folder already holds a member. */
        ALREADY_MEMBER,
        /** A file that the member wrote is gone. */
        MISSING_FILE,
        /** A file does not hold what was written. */
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
