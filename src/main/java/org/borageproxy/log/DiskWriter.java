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
 * Writes on a thread of its own, all waiting writes together. It stops for good at the first failure. Safe for use by
 * any thread.
 */
final class DiskWriter {

    /** Ends the thread once the writes before it are done. */
    private static final Effect.Persist STOP =
            new Effect.Persist(Long.MAX_VALUE, Optional.empty(), Optional.empty(), false, List.of());

    /** The storage. */
    private final LogStorage storage;

    /** Takes the last durable ticket. */
    private final LongConsumer synced;

    /** Takes a failure. */
    private final Consumer<Exception> failed;

    /** The writes that wait. */
    private final BlockingQueue<Effect.Persist> queue = new LinkedBlockingQueue<>();

    /** The thread. */
    private final Thread thread;

    /**
     * Creates a writer.
     *
     * @param storage the storage
     * @param name the name of the thread
     * @param synced takes the last durable ticket
     * @param failed takes a failure
     */
    DiskWriter(LogStorage storage, String name, LongConsumer synced, Consumer<Exception> failed) {
        this.storage = storage;
        this.synced = synced;
        this.failed = failed;
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    /** Starts the thread. */
    void start() {
        thread.start();
    }

    /**
     * Adds a write.
     *
     * @param write the write
     */
    void add(Effect.Persist write) {
        queue.add(write);
    }

    /** Writes until the thread is stopped or a write fails. */
    private void run() {
        List<Effect.Persist> writes = new ArrayList<>();
        boolean stopped = false;
        try {
            while (!stopped) {
                writes.add(queue.take());
                queue.drainTo(writes);
                stopped = writes.remove(STOP);
                if (!writes.isEmpty()) {
                    storage.write(writes);
                    synced.accept(writes.get(writes.size() - 1).writeNumber());
                }
                writes.clear();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (IOException | RuntimeException exception) {
            failed.accept(exception);
        }
    }

    /**
     * Stops the thread and closes the storage.
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
