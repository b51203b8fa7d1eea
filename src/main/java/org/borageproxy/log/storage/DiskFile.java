package org.borageproxy.log.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** A file that grows at its end. Implementations are used by one thread. */
public interface DiskFile extends AutoCloseable {

    /**
     * Writes bytes at the end.
     *
     * @param bytes the bytes, all of which are written
     * @throws IOException if not all could be written
     */
    void append(ByteBuffer bytes) throws IOException;

    /**
     * Returns once all that was written will outlast a power failure.
     *
     * @throws IOException if that is not certain
     */
    void sync() throws IOException;

    @Override
    void close() throws IOException;

    /** Opens files. */
    @FunctionalInterface
    interface Opener {

        /**
         * Opens a file at its end, and makes it if there is none.
         *
         * @param path the path
         * @return the file
         * @throws IOException if it cannot be opened
         */
        DiskFile open(Path path) throws IOException;
    }

    /** A file of the operating system. Used by one thread. */
    final class ChannelFile implements DiskFile {

        /** The open file. */
        private final FileChannel channel;

        /**
         * Creates a file.
         *
         * @param channel the open file
         */
        private ChannelFile(FileChannel channel) {
            this.channel = channel;
        }

        /**
         * Opens a file at its end, and makes it if there is none.
         *
         * @param path the path
         * @return the file
         * @throws IOException if it cannot be opened
         */
        public static DiskFile open(Path path) throws IOException {
            return new ChannelFile(FileChannel.open(
                    path, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND));
        }

        @Override
        public void append(ByteBuffer bytes) throws IOException {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }

        @Override
        public void sync() throws IOException {
            channel.force(false);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
