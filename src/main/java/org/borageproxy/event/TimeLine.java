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
 * Keeps the latest events of this process and writes each as one line to the log. Holds at most a fixed number of
 * entries, in order of their timestamps. Safe for use by any thread; guarded by its own monitor, under which only the
 * clock's monitor is taken.
 */
public final class TimeLine implements EventRecorder {

    /** The log of events. */
    private static final Logger LOGGER = LoggerFactory.getLogger(TimeLine.class);
    /** The largest number of entries that are kept. */
    private static final int MOST_ENTRIES = 8_192;

    /** The name of this VM. */
    private final VmName vm;
    /** The availability zone of this VM. */
    private final AvailabilityZone zone;
    /** The clock that gives the timestamps. */
    private final HybridClock clock;
    /** The entries, oldest first; guarded by this object's monitor. */
    private final Deque<TimeLineEntry> entries = new ArrayDeque<>();

    /**
     * Creates an empty time line.
     *
     * @param vm the name of this VM
     * @param zone the availability zone of this VM
     * @param clock the clock that gives the timestamps
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
     * Returns the entries after a time.
     *
     * @param afterMillis milliseconds since 1970
     * @param most the largest number of entries to return
     * @return the latest entries in order
     */
    public synchronized List<TimeLineEntry> after(long afterMillis, int most) {
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
     * Adds an entry and drops the oldest one if there are too many.
     *
     * @param event the event
     * @return the entry
     */
    private synchronized TimeLineEntry append(Event event) {
        TimeLineEntry entry = new TimeLineEntry(clock.tick(), vm, event);
        entries.addLast(entry);
        if (entries.size() > MOST_ENTRIES) {
            entries.removeFirst();
        }
        return entry;
    }
}
