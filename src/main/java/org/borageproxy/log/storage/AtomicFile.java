package org.borageproxy.log.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/**
 * A small file that is replaced as a whole: it holds the old or the new content, never a part. Stateless and thread
 * safe.
 */
final class AtomicFile {

    /** The first bytes of each file. */
    private static final int MAGIC = 0x42525346;

    /** The bytes of magic number, checksum and length. */
    private static final int HEADER_BYTES = 3 * Integer.BYTES;

    /** Not instantiated. */
    private AtomicFile() {}

    /**
     * Replaces a file; it is durable on return.
     *
     * @param path the path
     * @param content the new content
     * @param opener opens files
     * @throws IOException if it is not certain that the file was replaced
     */
    static void replace(Path path, byte[] content, DiskFile.Opener opener) throws IOException {
        Path temporary = path.resolveSibling(path.getFileName() + ".new");
        Files.deleteIfExists(temporary);
        ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES + content.length);
        bytes.putInt(MAGIC).putInt(checksum(content)).putInt(content.length).put(content);
        bytes.flip();
        try (DiskFile file = opener.open(temporary)) {
            file.append(bytes);
            file.sync();
        }
        Files.move(temporary, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncFolder(path.getParent());
    }

    /**
     * Reads a file.
     *
     * @param path the path
     * @return the content
     * @throws IOException if it is gone or damaged
     */
    static byte[] read(Path path) throws IOException {
        byte[] all;
        try {
            all = Files.readAllBytes(path);
        } catch (NoSuchFileException exception) {
            throw StorageException.missing(path);
        }
        ByteBuffer bytes = ByteBuffer.wrap(all);
        if (all.length < HEADER_BYTES || bytes.getInt() != MAGIC) {
            throw StorageException.damaged(path, 0, "header is damaged");
        }
        int checksum = bytes.getInt();
        if (bytes.getInt() != bytes.remaining()) {
            throw StorageException.damaged(path, all.length, "length differs from the header's");
        }
        byte[] content = new byte[bytes.remaining()];
        bytes.get(content);
        if (checksum(content) != checksum) {
            throw StorageException.damaged(path, HEADER_BYTES, "checksum does not match");
        }
        return content;
    }

    /**
     * Returns once the names in a folder will outlast a power failure.
     *
     * @param folder the folder
     * @throws IOException if that is not certain
     */
    static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /**
     * Computes a checksum.
     *
     * @param content the content
     * @return the checksum
     */
    private static int checksum(byte[] content) {
        CRC32C checksum = new CRC32C();
        checksum.update(content);
        return (int) checksum.getValue();
    }
}
