package org.borageproxy.vm;

/**
 * The name of a VM, unique in the fleet. Immutable and thread safe.
 *
 * @param value the name, never empty
 */
public record VmName(String value) implements Comparable<VmName> {

    /** Refuses an empty value. */
    public VmName {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("VmName must not be empty");
        }
    }

    @Override
    public int compareTo(VmName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
