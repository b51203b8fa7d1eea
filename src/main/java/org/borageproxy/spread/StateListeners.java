package org.borageproxy.spread;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Listeners for one part of the watched state, called in the order of their registration. A failure of one affects
 * neither the others nor the watch. Thread safe.
 *
 * @param <T> the type of the part
 */
final class StateListeners<T> {

    private static final Logger LOGGER = LoggerFactory.getLogger(StateListeners.class);

    private final List<Consumer<T>> listeners = new CopyOnWriteArrayList<>();

    void add(Consumer<T> listener) {
        listeners.add(listener);
    }

    void notifyAll(T value) {
        for (Consumer<T> listener : listeners) {
            try {
                listener.accept(value);
            } catch (RuntimeException | Error exception) {
                LOGGER.error("event=state-listener-failed", exception);
            }
        }
    }
}
