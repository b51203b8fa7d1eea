package org.borageproxy.event;

/**
 * A reading of a hybrid logical clock. If one event caused another, its timestamp is smaller; the reverse does not
 * hold. Ordered by milliseconds, then by counter. Immutable and thread safe.
 *
 * @param millis milliseconds since the epoch, 1970-01-01T00:00:00Z
 * @param counter distinguishes readings of the same millisecond
 */
public record HybridTimestamp(long millis, int counter) implements Comparable<HybridTimestamp> {

    /** The initial value of a clock, smaller than all its readings. */
    public static final HybridTimestamp ZERO = new HybridTimestamp(0, 0);

    @Override
    public int compareTo(HybridTimestamp other) {
        int order = Long.compare(millis, other.millis);
        return order != 0 ? order : Integer.compare(counter, other.counter);
    }
}
