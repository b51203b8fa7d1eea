package org.borageproxy.placement;

import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the placement owner of this VM on a thread of its own, and periodically sends the demand of this VM to the VM
 * that holds the placement duty. Thread safe.
 */
public final class PlacementService implements AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(PlacementService.class);
    private static final long TICK_INTERVAL_MILLIS = 100;
    private static final long DIGEST_INTERVAL_MILLIS = 500;
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

    private final ScheduledExecutorService executor;
    /** {@code null} on a VM that only reports its demand. */
    private final PlacementOwner owner;

    private final DemandReporter demandReporter;

    private PlacementService(PlacementOwner owner, DemandReporter demandReporter, ScheduledExecutorService executor) {
        this.owner = owner;
        this.demandReporter = demandReporter;
        this.executor = executor;
    }

    /**
     * Creates the service of a VM that may acquire the placement duty.
     *
     * @param dependencies the collaborators of the placement owner
     * @param demandReporter measures the demand of this VM
     * @return the service, not yet started
     */
    public static PlacementService ofCandidate(PlacementDependencies dependencies, DemandReporter demandReporter) {
        ScheduledExecutorService executor = newExecutor();
        Executor logging = task -> executor.execute(() -> runLogged(task));
        return new PlacementService(new PlacementOwner(dependencies, logging), demandReporter, executor);
    }

    /**
     * Creates the service of a VM that only reports its demand.
     *
     * @param demandReporter measures the demand of this VM
     * @return the service, not yet started
     */
    public static PlacementService ofEntryOnly(DemandReporter demandReporter) {
        return new PlacementService(null, demandReporter, newExecutor());
    }

    private static ScheduledExecutorService newExecutor() {
        return Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "placement");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Starts the periodic tasks. */
    public void start() {
        if (owner != null) {
            executor.scheduleWithFixedDelay(owner::tick, 0, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
        executor.scheduleWithFixedDelay(
                () -> runLogged(demandReporter::sendDigest), 0, DIGEST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

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
            executor.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException alreadyClosed) {
            LOGGER.debug("event=placement-closed-before");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
