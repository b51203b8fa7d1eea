package org.borageproxy.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;

import org.borageproxy.log.storage.DiskFile;

/** A file on a disk that can be filled up. */
final class FailingFile implements DiskFile {

    private final DiskFile file;

    private final AtomicBoolean full;

    FailingFile(DiskFile file, AtomicBoolean full) {
        this.file = file;
        this.full = full;
    }

    @Override
    public void append(ByteBuffer bytes) throws IOException {
        if (full.get()) {
            throw new IOException("No space left on device");
        }
        file.append(bytes);
    }

    @Override
    public void sync() throws IOException {
        file.sync();
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
