package org.borageproxy.execution;

/**
 * Identifies equal requests of one workspace, or a part that prompts share, across VMs and resends. Immutable and
 * thread safe.
 *
 * @param value the hexadecimal digest of workspace, path and body; for a part, a prefix and its name
 */
public record Fingerprint(String value) {

    private static final String PART_PREFIX = "part:";

    /**
     * Returns the fingerprint of a part of prompts.
     *
     * @param name the name of the part
     * @return the fingerprint
     */
    static Fingerprint ofPart(String name) {
        return new Fingerprint(PART_PREFIX + name);
    }

    /**
     * Returns whether this is the fingerprint of a part of prompts.
     *
     * @return {@code false} for that of a request
     */
    public boolean isPart() {
        return value.startsWith(PART_PREFIX);
    }
}
