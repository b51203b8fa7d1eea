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

    // Written out, because the generated methods run as chains of method handles, which is slow before compilation.
    @Override
    public boolean equals(Object other) {
        return this == other || other instanceof AvailabilityZone that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
