package org.borageproxy.control;

import java.time.Duration;
import java.util.function.BooleanSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A task that runs again and again until it says that it has ended. A run that fails is logged and does not end the
 * series: the process would go on without the task, on outdated state, and no one would notice. At most one run is
 * scheduled. Immutable; thread safe if the timer is.
 */
public final class RepeatedTask {

    private static final Logger LOGGER = LoggerFactory.getLogger(RepeatedTask.class);

    private final String name;
    private final Timer timer;
    private final Duration interval;
    private final BooleanSupplier task;

    private RepeatedTask(String name, Timer timer, Duration interval, BooleanSupplier task) {
        this.name = name;
        this.timer = timer;
        this.interval = interval;
        this.task = task;
    }

    /**
     * Schedules the first run.
     *
     * @param name the name of the task in the log
     * @param timer schedules the runs
     * @param delay the delay of the first run
     * @param interval the delay of each further run, from the end of the one before
     * @param task the task, which must not block; returns {@code false} to end the series
     */
    public static void start(String name, Timer timer, Duration delay, Duration interval, BooleanSupplier task) {
        timer.schedule(delay, new RepeatedTask(name, timer, interval, task)::run);
    }

    private void run() {
        boolean isContinued = true;
        try {
            isContinued = task.getAsBoolean();
        } catch (RuntimeException | Error exception) {
            LOGGER.error("event=repeated-task-failed task={}", name, exception);
        }
        if (isContinued) {
            timer.schedule(interval, this::run);
        }
    }
}
