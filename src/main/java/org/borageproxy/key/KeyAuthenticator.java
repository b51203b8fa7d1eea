package org.borageproxy.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.KeyRecord;

/**
 * Authenticates keys against a configuration. Each call does the same work for a missing, unknown or withdrawn key: one
 * digest, one lookup by digest and one comparison. Stateless and thread safe.
 */
public enum KeyAuthenticator {
    /** The singleton instance. */
    INSTANCE;

    private static final String BEARER_PREFIX = "Bearer ";
    /** Compared in place of a missing record, so that a missing key takes the same time. */
    private static final KeyRecord ABSENT_RECORD = new KeyRecord("", "0".repeat(64), "", true);

    /**
     * Extracts the bearer token of an Authorization header.
     *
     * @param authorization the value of the header, {@code null} if absent
     * @return the token, empty unless the header carries one
     */
    public Optional<String> bearerToken(String authorization) {
        if (authorization == null || !authorization.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())) {
            return Optional.empty();
        }
        String token = authorization.substring(BEARER_PREFIX.length()).strip();
        return token.isEmpty() ? Optional.empty() : Optional.of(token);
    }

    /**
     * Authenticates a caller.
     *
     * @param configuration the current configuration
     * @param key the key, if one was sent
     * @return the result
     */
    public AuthenticationResult authenticate(Configuration configuration, Optional<String> key) {
        return authenticateDigest(configuration, KeyDigest.of(key.orElse("")));
    }

    /**
     * Authenticates a key by its digest, as before a dispatch, when the configuration may have changed.
     *
     * @param configuration the current configuration
     * @param digest the digest of the key
     * @return the result
     */
    public AuthenticationResult authenticateDigest(Configuration configuration, KeyDigest digest) {
        KeyRecord record = configuration.keysByDigest().getOrDefault(digest.value(), ABSENT_RECORD);
        boolean matches = MessageDigest.isEqual(
                record.digest().getBytes(StandardCharsets.UTF_8), digest.value().getBytes(StandardCharsets.UTF_8));
        boolean usable = !record.withdrawn() & configuration.workspaces().containsKey(record.workspace());
        return matches & usable
                ? new AuthenticationResult.Accepted(record.workspace(), digest)
                : AuthenticationResult.Refused.INSTANCE;
    }
}
