package org.borageproxy.placement;

import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the placement owner of this VM on a thread of its own, and sends this VM's demand to the owner of the fleet.
 * Thread safe.
 */
public final class PlacementService implements AutoCloseable {

    /** Writes the log. */
    private static final Logger LOGGER = LoggerFactory.getLogger(PlacementService.class);
    /** The time between two looks at what is due, in milliseconds. */
    private static final long TICK_MILLIS = 100;
    /** The time between two digests of the demand, in milliseconds. */
    private static final long DIGEST_MILLIS = 500;
    /** The longest time to wait for the thread to end, in milliseconds. */
    private static final long CLOSE_MILLIS = 1_000;

    /** Runs the owner. */
    private final ScheduledExecutorService executor;
    /** The owner, {@code null} on a VM that only sends its demand. */
    private final PlacementOwner owner;
    /** The demand of this VM. */
    private final DemandReporter demand;

    /**
     * Creates a service that does not run.
     *
     * @param owner the owner, {@code null} on a VM that only sends its demand
     * @param demand the demand of this VM
     * @param executor runs the owner
     */
    private PlacementService(PlacementOwner owner, DemandReporter demand, ScheduledExecutorService executor) {
        this.owner = owner;
        this.demand = demand;
        this.executor = executor;
    }

    /**
     * Creates the service of a VM that may get the placement duty.
     *
     * @param parts what the owner works with
     * @param demand the demand of this VM
     * @return the service, which does not run yet
     */
    public static PlacementService ofCandidate(PlacementDependencies parts, DemandReporter demand) {
        ScheduledExecutorService executor = thread();
        Executor logging = task -> executor.execute(() -> runLogged(task));
        return new PlacementService(new PlacementOwner(parts, logging), demand, executor);
    }

    /**
     * Creates the service of a VM that only sends its demand.
     *
     * @param demand the demand of this VM
     * @return the service, which does not run yet
     */
    public static PlacementService ofEntryOnly(DemandReporter demand) {
        return new PlacementService(null, demand, thread());
    }

    /**
     * Creates the executor.
     *
     * @return an executor with one daemon thread
     */
    private static ScheduledExecutorService thread() {
        return Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "placement");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Starts to run. */
    public void start() {
        if (owner != null) {
            executor.scheduleWithFixedDelay(owner::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
        executor.scheduleWithFixedDelay(() -> runLogged(demand::sendDigest), 0, DIGEST_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task and logs its failure.
     *
     * @param task the task
     */
    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException failure) {
            LOGGER.error("event=placement-task-failed", failure);
        }
    }

    @Override
    public void close() {
        try {
            if (owner != null) {
                owner.release();
            }
            executor.shutdown();
            executor.awaitTermination(CLOSE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException alreadyClosed) {
            LOGGER.debug("event=placement-closed-before");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
