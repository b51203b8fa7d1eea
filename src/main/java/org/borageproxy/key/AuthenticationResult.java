package org.borageproxy.key;

/** The result of the authentication of a caller. Implementations are immutable. */
public sealed interface AuthenticationResult {

    /**
     * The key is accepted.
     *
     * @param workspace the workspace of the key
     * @param digest the digest of the key, by which it is checked again before a dispatch
     */
    record Accepted(String workspace, KeyDigest digest) implements AuthenticationResult {}

    /** The key is missing, unknown or withdrawn, or its workspace does not exist. The reason is not disclosed. */
    enum Refused implements AuthenticationResult {
        /** The singleton instance. */
        INSTANCE
    }
}
