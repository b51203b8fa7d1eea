package org.borageproxy.execution;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes digests that tell whether two requests are equal. Each part is framed by its length. Thread safe. */
public final class RequestDigest {

    /** Not instantiable. */
    private RequestDigest() {}

    /**
     * Computes the identity of a request within a workspace across VMs and resends.
     *
     * @param workspace the caller's workspace
     * @param path the path and query
     * @param body the body
     * @return the fingerprint
     */
    public static Fingerprint fingerprint(String workspace, String path, byte[] body) {
        return new Fingerprint(digest(workspace, path, body));
    }

    /**
     * Computes the digest that a claim compares.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @param body the body
     * @return the digest in hexadecimal
     */
    public static String claimDigest(String method, String path, byte[] body) {
        return digest(method, path, body);
    }

    /**
     * Computes a digest of three parts.
     *
     * @param first the first part
     * @param second the second part
     * @param body the third part
     * @return the digest in hexadecimal
     */
    private static String digest(String first, String second, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            update(digest, first.getBytes(StandardCharsets.UTF_8));
            update(digest, second.getBytes(StandardCharsets.UTF_8));
            update(digest, body);
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("Every Java platform provides SHA-256", exception);
        }
    }

    /**
     * Adds a part with its length.
     *
     * @param digest the digest
     * @param part the part
     */
    private static void update(MessageDigest digest, byte[] part) {
        digest.update((part.length + ":").getBytes(StandardCharsets.UTF_8));
        digest.update(part);
    }
}
