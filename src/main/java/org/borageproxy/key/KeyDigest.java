package org.borageproxy.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The SHA-256 digest of a caller's key. Keys are stored and compared only in this form. Immutable and thread safe.
 *
 * @param value the digest in lower-case hexadecimal
 */
public record KeyDigest(String value) {

    /**
     * Computes the digest of a key.
     *
     * @param key the key as sent by the caller
     * @return the digest
     */
    public static KeyDigest of(String key) {
        byte[] digest = sha256().digest(key.getBytes(StandardCharsets.UTF_8));
        return new KeyDigest(HexFormat.of().formatHex(digest));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("Every Java platform provides SHA-256", exception);
        }
    }
}
