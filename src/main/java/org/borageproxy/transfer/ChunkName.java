package org.borageproxy.transfer;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import com.google.protobuf.ByteString;

/**
 * Name of a chunk: the first 16 bytes of the SHA-256 digest of its content. Immutable and thread safe.
 *
 * @param value the bytes of the name
 */
public record ChunkName(ByteString value) {

    /** Size of a name in bytes. */
    public static final int BYTES = 16;

    /** Validates the size. */
    public ChunkName {
        if (value.size() != BYTES) {
            throw new IllegalArgumentException("a chunk name has " + BYTES + " bytes, not " + value.size());
        }
    }

    /**
     * Returns the name of a chunk.
     *
     * @param content the content of the chunk
     * @return the name
     */
    public static ChunkName of(ByteString content) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (ByteBuffer buffer : content.asReadOnlyByteBufferList()) {
                digest.update(buffer);
            }
            return new ChunkName(ByteString.copyFrom(digest.digest(), 0, BYTES));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("Every Java platform has SHA-256", exception);
        }
    }
}
