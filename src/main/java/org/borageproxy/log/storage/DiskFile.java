package org.borageproxy.log.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** An append-only file. Implementations are used by one thread. */
public interface DiskFile extends AutoCloseable {

    /**
     * Appends bytes to the file.
     *
     * @param bytes the bytes; all of them are written on return
     * @throws IOException if they were not written completely
     */
    void append(ByteBuffer bytes) throws IOException;

    /**
     * Waits until everything appended so far is durable, that is, survives a power failure.
     *
     * @throws IOException if durability is not certain
     */
    void sync() throws IOException;

    @Override
    void close() throws IOException;

    /** Opens files for appending. */
    @FunctionalInterface
    interface Opener {

        /**
         * Opens a file for appending, and creates it if it does not exist.
         *
         * @param path the path
         * @return the open file
         * @throws IOException if it cannot be opened
         */
        DiskFile open(Path path) throws IOException;
    }

    /** A file of the operating system. Used by one thread. */
    final class ChannelFile implements DiskFile {

        private final FileChannel channel;

        private ChannelFile(FileChannel channel) {
            this.channel = channel;
        }

        /**
         * Opens a file for appending, and creates it if it does not exist.
         *
         * @param path the path
         * @return the open file
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
