package org.borageproxy.log.storage;

import java.io.IOException;
import java.util.List;

import org.borageproxy.log.consensus.Effect;
import org.borageproxy.log.consensus.RestoredState;

/** Durable storage of the state that a member must preserve over a restart. Used by one thread at a time. */
public interface LogStorage extends AutoCloseable {

    /**
     * Returns the state that was stored when the storage was opened; later writes do not change it.
     *
     * @return the state
     */
    RestoredState restoredState();

    /**
     * Writes a batch, which is durable on return. After a failure all later calls fail too, since it is unknown what
     * has reached the disk.
     *
     * @param writes the writes in order
     * @throws IOException if durability of the whole batch is not certain
     */
    void write(List<Effect.Persist> writes) throws IOException;

    @Override
    void close() throws IOException;

    /** Discards all writes, for groups whose state need not outlast the process. */
    final class InMemory implements LogStorage {

        private final RestoredState state;

        /**
         * Creates a storage.
         *
         * @param state the state in which the member starts
         */
        public InMemory(RestoredState state) {
            this.state = state;
        }

        @Override
        public RestoredState restoredState() {
            return state;
        }

        @Override
        public void write(List<Effect.Persist> writes) {
            // The consensus core keeps the state in memory.
        }

        @Override
        public void close() {
            // No resources to release.
        }
    }
}
