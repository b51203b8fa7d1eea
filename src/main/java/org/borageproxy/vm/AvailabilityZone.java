package org.borageproxy.vm;

/**
 * The name of an availability zone. Immutable and thread safe.
 *
 * @param value the name, never empty
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

    /** Refuses an empty value. */
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
