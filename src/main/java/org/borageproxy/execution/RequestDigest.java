package org.borageproxy.execution;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes digests that identify equal requests. Each field is prefixed with its length, so that no two sequences of
 * fields collide by concatenation. Thread safe.
 */
public final class RequestDigest {

    /** Longer names of parts are replaced by their digests. */
    private static final int MAX_NAME_LENGTH = 128;

    private RequestDigest() {}

    /**
     * Computes the fingerprint that identifies equal requests of a workspace across VMs and resends.
     *
     * @param workspace the name of the caller's workspace
     * @param path the path and query
     * @param body the body
     * @return the fingerprint
     */
    public static Fingerprint fingerprint(String workspace, String path, byte[] body) {
        return new Fingerprint(digest(workspace, path, body));
    }

    /**
     * Computes the fingerprint that identifies a part of prompts across VMs and requests. Never equal to the
     * fingerprint of a request.
     *
     * @param service the service
     * @param part the identity of the part
     * @return the fingerprint
     */
    public static Fingerprint partFingerprint(String service, String part) {
        String name = service + '/' + part;
        return Fingerprint.ofPart(name.length() <= MAX_NAME_LENGTH ? name : digest(service, part, new byte[0]));
    }

    /**
     * Computes the digest that detects the reuse of an idempotency key for another request.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @param body the body
     * @return the hexadecimal digest
     */
    public static String claimDigest(String method, String path, byte[] body) {
        return digest(method, path, body);
    }

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

    private static void update(MessageDigest digest, byte[] part) {
        digest.update((part.length + ":").getBytes(StandardCharsets.UTF_8));
        digest.update(part);
    }
}
