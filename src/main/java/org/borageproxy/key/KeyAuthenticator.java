package org.borageproxy.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.KeyRecord;

/**
 * Decides whether a key is accepted under a configuration. Each call does the same work whether the key is missing,
 * unknown or withdrawn: one digest, one lookup by digest and one comparison. Stateless and thread safe.
 */
public enum KeyAuthenticator {
    /** The only authenticator. */
    INSTANCE;

    /** The scheme of the Authorization header, with the separating space. */
    private static final String BEARER = "Bearer ";
    /** Stands in for a missing record, so that the comparison takes place all the same. */
    private static final KeyRecord ABSENT = new KeyRecord("", "0".repeat(64), "", true);

    /**
     * Extracts the key of an Authorization header.
     *
     * @param authorization the header's value, {@code null} if the header is missing
     * @return the key, empty unless the header carries a bearer token
     */
    public Optional<String> bearerToken(String authorization) {
        if (authorization == null || !authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return Optional.empty();
        }
        String token = authorization.substring(BEARER.length()).strip();
        return token.isEmpty() ? Optional.empty() : Optional.of(token);
    }

    /**
     * Authenticates a caller.
     *
     * @param configuration the configuration served now
     * @param key the key, if one was sent
     * @return the answer
     */
    public AuthenticationResult authenticate(Configuration configuration, Optional<String> key) {
        return authenticateDigest(configuration, KeyDigest.of(key.orElse("")));
    }

    /**
     * Checks a key again, such as before a dispatch.
     *
     * @param configuration the configuration served now
     * @param digest the digest of the key
     * @return the answer
     */
    public AuthenticationResult authenticateDigest(Configuration configuration, KeyDigest digest) {
        KeyRecord record = configuration.keysByDigest().getOrDefault(digest.value(), ABSENT);
        boolean matches = MessageDigest.isEqual(
                record.digest().getBytes(StandardCharsets.UTF_8), digest.value().getBytes(StandardCharsets.UTF_8));
        boolean usable = !record.withdrawn() & configuration.workspaces().containsKey(record.workspace());
        return matches & usable
                ? new AuthenticationResult.Accepted(record.workspace(), digest)
                : AuthenticationResult.Refused.INSTANCE;
    }
}
