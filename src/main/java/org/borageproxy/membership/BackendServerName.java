package org.borageproxy.membership;

/**
 * The name of a backend server, unique in the fleet. Immutable and thread safe.
 *
 * @param value the name, never empty
 */
public record BackendServerName(String value) implements Comparable<BackendServerName> {

    /** Refuses an empty value. */
    public BackendServerName {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("BackendServerName must not be empty");
        }
    }

    @Override
    public int compareTo(BackendServerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
