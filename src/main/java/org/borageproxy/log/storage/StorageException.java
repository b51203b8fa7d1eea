package org.borageproxy.log.storage;

import java.io.IOException;
import java.nio.file.Path;

/** Signals that a member's files cannot be used. Immutable and thread safe. */
public final class StorageException extends IOException {

    private final transient StorageFault fault;

    /**
     * Creates an exception whose message describes a fault.
     *
     * @param fault the fault
     */
    public StorageException(StorageFault fault) {
        super(fault.toString());
        this.fault = fault;
    }

    /**
     * Creates an exception for a damaged file or log.
     *
     * @param file the damaged file, or the data folder if log entries or the snapshot before them are missing
     * @param offset the byte offset at which the damage was found, or the index in the log if entries are missing
     * @param detail a description of the damage
     */
    static StorageException damaged(Path file, long offset, String detail) {
        return new StorageException(new StorageFault(StorageFault.Kind.DAMAGED, file, offset, detail));
    }

    /** Creates an exception for a file that the member wrote and that no longer exists. */
    static StorageException missing(Path file) {
        return new StorageException(new StorageFault(
                StorageFault.Kind.MISSING_FILE, file, 0, "the member wrote this file, but it no longer exists"));
    }

    /**
     * Returns the fault.
     *
     * @return the fault with the affected file and offset
     */
    public StorageFault fault() {
        return fault;
    }
}
