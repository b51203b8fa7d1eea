package org.borageproxy.key;

/** The result of the authentication of a caller. Implementations are immutable. */
public sealed interface AuthenticationResult {

    /**
     * The key is accepted.
     *
     * @param workspace the workspace of the key
     * @param digest the digest of the key, used to check the key again
     */
    record Accepted(String workspace, KeyDigest digest) implements AuthenticationResult {}

    /** The key is missing, unknown, withdrawn or belongs to no existing workspace. The reason is not disclosed. */
    enum Refused implements AuthenticationResult {
        /** The singleton instance. */
        INSTANCE
    }
}
