package org.borageproxy.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.borageproxy.log.consensus.Effect;
import org.borageproxy.log.storage.LogStorage;

/**
 * Writes to the storage on a thread of its own; all queued writes go into one call, so that they share a sync. The
 * first failed write ends the thread. Thread safe.
 */
final class DiskWriter {

    /** Sentinel that ends the thread after the writes queued before it. */
    private static final Effect.Persist STOP =
            new Effect.Persist(Long.MAX_VALUE, Optional.empty(), Optional.empty(), false, List.of());

    private final LogStorage storage;

    private final LongConsumer onDurable;

    private final Consumer<Throwable> onFailure;

    private final BlockingQueue<Effect.Persist> queue = new LinkedBlockingQueue<>();

    private final Thread thread;

    /**
     * Creates a writer whose thread is not started.
     *
     * @param storage the storage
     * @param threadName the name of the thread
     * @param onDurable receives the number of the last durable write, on the writer's thread
     * @param onFailure receives the failure that ended the thread, on that thread
     */
    DiskWriter(LogStorage storage, String threadName, LongConsumer onDurable, Consumer<Throwable> onFailure) {
        this.storage = storage;
        this.onDurable = onDurable;
        this.onFailure = onFailure;
        this.thread = new Thread(this::run, threadName);
        this.thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Queues a write; it never blocks. */
    void add(Effect.Persist write) {
        queue.add(write);
    }

    private void run() {
        List<Effect.Persist> writes = new ArrayList<>();
        boolean isStopRequested = false;
        try {
            while (!isStopRequested) {
                writes.add(queue.take());
                queue.drainTo(writes);
                isStopRequested = writes.remove(STOP);
                if (!writes.isEmpty()) {
                    storage.write(writes);
                    onDurable.accept(writes.get(writes.size() - 1).writeNumber());
                }
                writes.clear();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (IOException | RuntimeException | Error exception) {
            onFailure.accept(exception);
        }
    }

    /**
     * Waits until the queued writes are done, stops the thread and closes the storage.
     *
     * @throws IOException if the storage cannot be closed
     */
    void close() throws IOException {
        queue.add(STOP);
        try {
            thread.join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        storage.close();
    }
}
