package org.borageproxy.vm;

/**
 * The name of a VM, unique in the fleet and ordered alphabetically. Immutable and thread safe.
 *
 * @param value the name, never blank
 */
public record VmName(String value) implements Comparable<VmName> {

    /** Rejects a missing or blank name with an {@link IllegalArgumentException}. */
    public VmName {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("VmName must not be empty");
        }
    }

    @Override
    public int compareTo(VmName other) {
        return value.compareTo(other.value);
    }

    // Written out, because the generated methods run as chains of method handles, which is slow before compilation.
    @Override
    public boolean equals(Object other) {
        return this == other || other instanceof VmName that && value.equals(that.value);
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
