package org.borageproxy.coordination;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import org.borageproxy.control.RepeatedTask;
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
        RepeatedTask.start("leadership-notices", timer, Duration.ZERO, CHECK_INTERVAL, this::check);
    }

    /** Stops the checks. */
    public void stop() {
        isRunning = false;
    }

    /** Returns whether the checks go on. */
    private boolean check() {
        long currentTerm = term.getAsLong();
        if (isRunning && currentTerm != announcedTerm && isLeader.getAsBoolean()) {
            announcement.run();
            announcedTerm = currentTerm;
        }
        return isRunning;
    }
}
