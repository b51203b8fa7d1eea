package org.borageproxy.membership;

/**
 * Name of a backend server, unique in the fleet. Immutable and thread safe.
 *
 * @param value the name, never blank
 */
public record BackendServerName(String value) implements Comparable<BackendServerName> {

    /** Validates the name. */
    public BackendServerName {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("BackendServerName must not be empty");
        }
    }

    @Override
    public int compareTo(BackendServerName other) {
        return value.compareTo(other.value);
    }

    // Written out, because the generated methods run as chains of method handles, which is slow before compilation.
    @Override
    public boolean equals(Object other) {
        return this == other || other instanceof BackendServerName that && value.equals(that.value);
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
