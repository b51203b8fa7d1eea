package org.borageproxy.event;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmName;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs each event of this process as one line and retains the latest ones for queries, in a buffer of fixed size that
 * is ordered by timestamp. Thread safe: guarded by the monitor of this object, under which only the clock's monitor is
 * acquired. Log lines are written outside the monitor and may appear in another order.
 */
public final class TimeLine implements EventRecorder {

    private static final Logger LOGGER = LoggerFactory.getLogger(TimeLine.class);
    private static final int MAX_ENTRIES = 8_192;

    private final VmName vm;
    private final AvailabilityZone zone;
    private final HybridClock clock;
    /** The entries, oldest first; guarded by this object's monitor. */
    private final Deque<TimeLineEntry> entries = new ArrayDeque<>();

    /**
     * Creates an empty time line.
     *
     * @param vm the name of this VM
     * @param zone the availability zone of this VM
     * @param clock the source of timestamps, shared with the messages between VMs
     */
    public TimeLine(VmName vm, AvailabilityZone zone, HybridClock clock) {
        this.vm = vm;
        this.zone = zone;
        this.clock = clock;
    }

    @Override
    public void record(Event event) {
        TimeLineEntry entry = append(event);
        LOGGER.info("zone={} {}", zone, entry.toLine());
    }

    /**
     * Returns the latest entries after a time.
     *
     * @param afterMillis the exclusive lower bound in milliseconds since the epoch
     * @param most the maximum number of entries; if more match, the oldest are left out
     * @return the entries in the order of their timestamps
     */
    public synchronized List<TimeLineEntry> latestAfter(long afterMillis, int most) {
        List<TimeLineEntry> found = new ArrayList<>();
        for (TimeLineEntry entry : entries) {
            if (entry.timestamp().millis() > afterMillis) {
                found.add(entry);
            }
        }
        int from = Math.max(0, found.size() - most);
        return List.copyOf(found.subList(from, found.size()));
    }

    /**
     * Appends an entry and evicts the oldest one if the buffer is full.
     *
     * @param event the event
     * @return the entry
     */
    private synchronized TimeLineEntry append(Event event) {
        TimeLineEntry entry = new TimeLineEntry(clock.tick(), vm, event);
        entries.addLast(entry);
        if (entries.size() > MAX_ENTRIES) {
            entries.removeFirst();
        }
        return entry;
    }
}
