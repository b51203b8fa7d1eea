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
 * A small file with a checksum, replaced atomically: after a crash it holds either the old or the new content.
 * Stateless and thread safe.
 */
final class AtomicFile {

    /** The first four bytes of each file, "BRSF". */
    private static final int MAGIC = 0x42525346;

    /** The size of magic number, checksum and length. */
    private static final int HEADER_BYTES = 3 * Integer.BYTES;

    private AtomicFile() {}

    /**
     * Replaces the content of a file; the new content is durable on return.
     *
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
     * Reads the content of a file.
     *
     * @throws StorageException if the file is missing or damaged
     */
    static byte[] read(Path path) throws IOException {
        byte[] encoded;
        try {
            encoded = Files.readAllBytes(path);
        } catch (NoSuchFileException exception) {
            throw StorageException.missing(path);
        }
        ByteBuffer bytes = ByteBuffer.wrap(encoded);
        if (encoded.length < HEADER_BYTES || bytes.getInt() != MAGIC) {
            throw StorageException.damaged(path, 0, "the header is damaged");
        }
        int checksum = bytes.getInt();
        if (bytes.getInt() != bytes.remaining()) {
            throw StorageException.damaged(path, encoded.length, "the length differs from the length in the header");
        }
        byte[] content = new byte[bytes.remaining()];
        bytes.get(content);
        if (checksum(content) != checksum) {
            throw StorageException.damaged(path, HEADER_BYTES, "the checksum does not match");
        }
        return content;
    }

    /**
     * Waits until the entries of a folder are durable, that is, survive a power failure.
     *
     * @throws IOException if durability is not certain
     */
    static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static int checksum(byte[] content) {
        CRC32C checksum = new CRC32C();
        checksum.update(content);
        return (int) checksum.getValue();
    }
}
