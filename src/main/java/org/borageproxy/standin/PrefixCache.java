package org.borageproxy.standin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * The prompt prefixes that an engine caches, in blocks with least-recently-used eviction, and the cache events that
 * were not published yet. Confined to one event loop.
 */
final class PrefixCache {

    /** Length of a block in characters; a shorter rest of a prompt is not cached. */
    static final int BLOCK_CHARACTERS = 256;

    private static final int MAXIMUM_BLOCKS = 4_096;

    /** Digests of the cached blocks, the least recently used first. */
    private final Set<String> blocks = new LinkedHashSet<>();

    private List<JsonObject> events = new ArrayList<>();
    private long sequence;

    /**
     * Caches the prefixes of a prompt at each block boundary.
     *
     * @param resident the model version
     * @param prompt the prompt
     * @return the length in characters of the longest prefix that was cached before
     */
    int store(ResidentModel resident, String prompt) {
        int cachedCharacters = 0;
        boolean isContiguous = true;
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            String digest = digest(resident.model, resident.version, prompt.substring(0, end));
            boolean isCached = blocks.remove(digest);
            blocks.add(digest);
            isContiguous = isContiguous && isCached;
            cachedCharacters = isContiguous ? end : cachedCharacters;
            if (!isCached) {
                addEvent("stored", digest);
            }
        }
        evict();
        return cachedCharacters;
    }

    private void evict() {
        while (blocks.size() > MAXIMUM_BLOCKS) {
            String oldest = blocks.iterator().next();
            blocks.remove(oldest);
            addEvent("evicted", oldest);
        }
    }

    private void addEvent(String kind, String digest) {
        sequence++;
        events.add(new JsonObject().put("sequence", sequence).put("kind", kind).put("prefix", digest));
    }

    /** Returns the events that were not published yet, in order, and removes them. */
    JsonArray drainEvents() {
        JsonArray drained = new JsonArray(new ArrayList<>(events));
        events = new ArrayList<>();
        return drained;
    }

    /**
     * Returns the digest of a prefix as cache events carry it.
     *
     * @param prefix the start of a prompt
     * @return the lower-case hexadecimal SHA-256 digest of model, version and prefix
     */
    static String digest(String model, String version, String prefix) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            byte[] bytes = (model + "/" + version + "\n" + prefix).getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(sha.digest(bytes));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("The Java platform does not provide SHA-256", missing);
        }
    }
}
