package org.borageproxy.coordination;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import org.borageproxy.control.Timer;

/**
 * Announces once in each term in which this VM leads the control group that it is the coordinator. Without the notice,
 * an entry whose report is in flight to a frozen coordinator waits for that report before it asks another VM. Used by
 * one task at a time.
 */
public final class LeadershipNotices {

    /** Interval of the checks whether this VM leads; short beside the 500 ms that an election takes at least. */
    static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    private final BooleanSupplier isLeader;
    private final LongSupplier term;
    private final Runnable announcement;
    private final Timer timer;
    private volatile boolean isRunning;
    private volatile long announcedTerm = -1;

    /**
     * Creates the notices.
     *
     * @param isLeader returns whether this VM leads the control group
     * @param term returns the current term
     * @param announcement tells all entries that this VM is the coordinator
     * @param timer schedules the checks
     */
    public LeadershipNotices(BooleanSupplier isLeader, LongSupplier term, Runnable announcement, Timer timer) {
        this.isLeader = isLeader;
        this.term = term;
        this.announcement = announcement;
        this.timer = timer;
    }

    /** Starts the checks. */
    public void start() {
        isRunning = true;
        check();
    }

    /** Stops the checks. */
    public void stop() {
        isRunning = false;
    }

    private void check() {
        if (!isRunning) {
            return;
        }
        timer.schedule(CHECK_INTERVAL, this::check);
        long currentTerm = term.getAsLong();
        if (currentTerm != announcedTerm && isLeader.getAsBoolean()) {
            announcedTerm = currentTerm;
            announcement.run();
        }
    }
}
