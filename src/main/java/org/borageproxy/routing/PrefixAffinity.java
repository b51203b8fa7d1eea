package org.borageproxy.routing;

import java.util.Optional;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.borageproxy.membership.BackendServerName;

/**
 * Maps a prompt's prefix to the backend server that ran it last. The result is a hint: the server may have evicted the
 * prefix, and hashes of different prefixes may collide. The number of prefixes is bounded. Thread safe.
 */
public final class PrefixAffinity {

    private static final int PREFIX_CHARACTERS = 256;
    private static final long MAX_PREFIXES = 20_000;

    /** Keyed by the hash of model and prefix. */
    private final Cache<Long, BackendServerName> servers =
            Caffeine.newBuilder().maximumSize(MAX_PREFIXES).build();

    /**
     * Finds the backend server that probably has a prompt's prefix in its cache.
     *
     * @param model the model's name
     * @param prompt the whole prompt
     * @return empty if no server is recorded for the prefix
     */
    public Optional<BackendServerName> find(String model, String prompt) {
        return Optional.ofNullable(servers.getIfPresent(hash(model, prompt)));
    }

    /**
     * Records the backend server that ran a prompt.
     *
     * @param model the model's name
     * @param prompt the whole prompt
     * @param server the backend server
     */
    public void recordServer(String model, String prompt, BackendServerName server) {
        servers.put(hash(model, prompt), server);
    }

    private static long hash(String model, String prompt) {
        String prefix = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
        return ((long) model.hashCode() << Integer.SIZE) ^ (prefix.hashCode() & 0xffffffffL);
    }
}
