package org.borageproxy.log.storage;

import java.io.IOException;
import java.util.List;

import org.borageproxy.log.consensus.Effect;
import org.borageproxy.log.consensus.RestoredState;

/** Keeps what a member must not forget. Used by one thread at a time. */
public interface LogStorage extends AutoCloseable {

    /**
     * Hands out what the storage held when it was opened.
     *
     * @return the state
     */
    RestoredState restoredState();

    /**
     * Writes; all of it is durable on return. After a failure every later call fails too.
     *
     * @param writes the writes in order
     * @throws IOException if it is not certain that all is durable
     */
    void write(List<Effect.Persist> writes) throws IOException;

    @Override
    void close() throws IOException;

    /** Keeps nothing beyond the process, for demonstrations and tests. */
    final class InMemory implements LogStorage {

        /** The state at the start. */
        private final RestoredState state;

        /**
         * Creates a storage.
         *
         * @param state the state at the start
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
            // The process holds all of it already.
        }

        @Override
        public void close() {
            // Nothing is open.
        }
    }
}
