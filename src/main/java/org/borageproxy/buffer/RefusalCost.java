package org.borageproxy.buffer;

import java.util.Comparator;

import org.borageproxy.time.Deadline;

/**
 * What the refusal of a request costs its caller. The natural order begins with the lowest cost: the least urgent rank,
 * then the latest deadline, which leaves most time for a retry. Immutable and thread safe.
 *
 * @param rank the rank of the request in queues; zero is the most urgent
 * @param deadline the deadline of the request
 */
public record RefusalCost(int rank, Deadline deadline) implements Comparable<RefusalCost> {

    private static final Comparator<RefusalCost> ORDER = Comparator.comparingInt(RefusalCost::rank)
            .reversed()
            .thenComparing(RefusalCost::deadline, Comparator.reverseOrder());

    @Override
    public int compareTo(RefusalCost other) {
        return ORDER.compare(this, other);
    }
}
