package org.borageproxy.key;

/** The answer to a caller's key. Implementations are immutable. */
public sealed interface AuthenticationResult {

    /**
     * The key was accepted.
     *
     * @param workspace the workspace that the key belongs to
     * @param digest the digest of the key, with which the key is checked again
     */
    record Accepted(String workspace, KeyDigest digest) implements AuthenticationResult {}

    /** The key is missing, unknown or withdrawn; which of these is not told. */
    enum Refused implements AuthenticationResult {
        /** The only refusal. */
        INSTANCE
    }
}
