package org.borageproxy.log.storage;

import java.io.IOException;
import java.nio.file.Path;

/** Carries a fault out of the storage. Immutable and thread safe. */
public final class StorageException extends IOException {

    /** The fault. */
    private final transient StorageFault fault;

    /**
     * Creates an exception.
     *
     * @param fault the fault
     */
    public StorageException(StorageFault fault) {
        super(fault.toString());
        this.fault = fault;
    }

    /**
     * Returns an exception for a damaged file.
     *
     * @param file the file
     * @param offset the byte at which the damage was found
     * @param detail what was found
     * @return the exception
     */
    static StorageException damaged(Path file, long offset, String detail) {
        return new StorageException(new StorageFault(StorageFault.Kind.DAMAGED, file, offset, detail));
    }

    /**
     * Returns an exception for a file that is gone.
     *
     * @param file the file
     * @return the exception
     */
    static StorageException missing(Path file) {
        return new StorageException(
                new StorageFault(StorageFault.Kind.MISSING_FILE, file, 0, "the member wrote this file and it is gone"));
    }

    /**
     * Returns the fault.
     *
     * @return the fault
     */
    public StorageFault fault() {
        return fault;
    }
}
