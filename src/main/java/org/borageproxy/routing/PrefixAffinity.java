package org.borageproxy.routing;

import java.util.Optional;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.borageproxy.membership.BackendServerName;

/**
 * Remembers which backend server ran a prompt's prefix last; a hint that may be wrong. Holds a bounded number of
 * prefixes. Safe for use by any thread.
 */
public final class PrefixAffinity {

    /** The characters of a prompt that count as its prefix. */
    private static final int PREFIX_CHARACTERS = 256;
    /** The largest number of prefixes that are remembered. */
    private static final long MAXIMUM_PREFIXES = 20_000;

    /** The backend servers by the hash of model and prefix. */
    private final Cache<Long, BackendServerName> servers =
            Caffeine.newBuilder().maximumSize(MAXIMUM_PREFIXES).build();

    /**
     * Returns the backend server that probably holds a prefix.
     *
     * @param model the model's name
     * @param prompt the prompt
     * @return the backend server, if one is remembered
     */
    public Optional<BackendServerName> find(String model, String prompt) {
        return Optional.ofNullable(servers.getIfPresent(hash(model, prompt)));
    }

    /**
     * Remembers the backend server that ran a prompt.
     *
     * @param model the model's name
     * @param prompt the prompt
     * @param server the backend server
     */
    public void recordServer(String model, String prompt, BackendServerName server) {
        servers.put(hash(model, prompt), server);
    }

    /**
     * Hashes a model and the prefix of a prompt.
     *
     * @param model the model's name
     * @param prompt the prompt
     * @return the hash
     */
    private static long hash(String model, String prompt) {
        String prefix = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
        return ((long) model.hashCode() << Integer.SIZE) ^ (prefix.hashCode() & 0xffffffffL);
    }
}
