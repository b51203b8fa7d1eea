package org.borageproxy.vm;

/**
 * The name of an availability zone, ordered alphabetically. Immutable and thread safe.
 *
 * @param value the name, never blank
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

    /** Rejects a missing or blank name with an {@link IllegalArgumentException}. */
    public AvailabilityZone {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("AvailabilityZone must not be empty");
        }
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
