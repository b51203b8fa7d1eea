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
 * The prompt prefixes that an engine keeps, the least recently used dropped first, and the events about them that were
 * not published yet. Confined to one event loop.
 */
final class PrefixCache {

    /** The number of characters of a prompt in one block. */
    static final int BLOCK_CHARACTERS = 256;
    /** The largest number of blocks kept. */
    private static final int LARGEST_SIZE = 4_096;

    /** The digests of the blocks kept, the least recently used first. */
    private final Set<String> blocks = new LinkedHashSet<>();
    /** The events that were not published yet. */
    private List<JsonObject> events = new ArrayList<>();
    /** The number of the last event. */
    private long sequence;

    /**
     * Stores the prefixes of a prompt.
     *
     * @param resident the model version
     * @param prompt the prompt
     * @return the number of characters at the start of the prompt that were there before
     */
    int store(Resident resident, String prompt) {
        int known = 0;
        boolean unbroken = true;
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            String digest = digest(resident.model, resident.version, prompt.substring(0, end));
            boolean present = blocks.remove(digest);
            blocks.add(digest);
            unbroken = unbroken && present;
            known = unbroken ? end : known;
            if (!present) {
                publish("stored", digest);
            }
        }
        evict();
        return known;
    }

    /** Drops the least recently used blocks beyond the largest size. */
    private void evict() {
        while (blocks.size() > LARGEST_SIZE) {
            String oldest = blocks.iterator().next();
            blocks.remove(oldest);
            publish("evicted", oldest);
        }
    }

    /**
     * Adds an event.
     *
     * @param kind {@code stored} or {@code evicted}
     * @param digest the block's digest
     */
    private void publish(String kind, String digest) {
        sequence++;
        events.add(new JsonObject().put("sequence", sequence).put("kind", kind).put("prefix", digest));
    }

    /**
     * Takes the events that were not published yet.
     *
     * @return the events, which are empty afterwards
     */
    JsonArray takeEvents() {
        JsonArray taken = new JsonArray(new ArrayList<>(events));
        events = new ArrayList<>();
        return taken;
    }

    /**
     * Returns the digest of a prefix as cache events carry it.
     *
     * @param model the model's name
     * @param version the model's version
     * @param prefix the start of a prompt
     * @return the lower-case hexadecimal SHA-256 digest
     */
    static String digest(String model, String version, String prefix) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            byte[] bytes = (model + "/" + version + "\n" + prefix).getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(sha.digest(bytes));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("SHA-256 is missing", missing);
        }
    }
}
