package org.borageproxy.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;

import org.borageproxy.log.storage.DiskFile;

/** A file whose writes fail, half of their bytes written, while its disk is marked as full. */
final class FailingFile implements DiskFile {

    private final DiskFile file;

    private final AtomicBoolean isDiskFull;

    FailingFile(DiskFile file, AtomicBoolean isDiskFull) {
        this.file = file;
        this.isDiskFull = isDiskFull;
    }

    @Override
    public void append(ByteBuffer bytes) throws IOException {
        if (isDiskFull.get()) {
            file.append(bytes.slice(bytes.position(), bytes.remaining() / 2));
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
