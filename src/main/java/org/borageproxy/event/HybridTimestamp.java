package org.borageproxy.event;

/**
 * A reading of a hybrid logical clock: if one event caused another, its timestamp is the smaller one. Immutable and
 * thread safe.
 *
 * @param millis milliseconds since 1970
 * @param counter orders readings of the same millisecond
 */
public record HybridTimestamp(long millis, int counter) implements Comparable<HybridTimestamp> {

    /** The timestamp before all others. */
    public static final HybridTimestamp ZERO = new HybridTimestamp(0, 0);

    @Override
    public int compareTo(HybridTimestamp other) {
        int order = Long.compare(millis, other.millis);
        return order != 0 ? order : Integer.compare(counter, other.counter);
    }
}
