package org.borageproxy.tree;

import java.util.function.Consumer;

/**
 * The configuration that this VM serves. Its revision never decreases. Implementations are safe for use by any thread.
 */
public interface ConfigurationSource {

    /**
     * Returns the configuration served at present.
     *
     * @return the configuration, {@link Configuration#EMPTY} before the first change is received
     */
    Configuration current();

    /**
     * Tells whether the freshness lease is valid, that is whether the control group has recently confirmed the
     * configuration as current.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return {@code true} if keyed requests may be admitted
     */
    boolean isFresh(long nowNanos);

    /**
     * Registers a listener that is called after each change, in ascending order of revisions.
     *
     * @param listener the listener
     */
    void subscribe(Consumer<Configuration> listener);
}
