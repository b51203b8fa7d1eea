package org.borageproxy.tree;

import java.util.function.Consumer;

/** The configuration that this VM serves. Its revision never decreases. Implementations are thread safe. */
public interface ConfigurationSource {

    /**
     * Returns the configuration served at present.
     *
     * @return the configuration, {@link Configuration#EMPTY} before the first change is received
     */
    Configuration current();

    /**
     * Returns whether the freshness lease is valid, that is whether the control group has recently confirmed the
     * configuration as current.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return {@code true} if requests with an API key may be admitted
     */
    boolean isFresh(long nowNanos);

    /**
     * Registers a listener that is called after each change, in ascending order of revisions.
     *
     * @param listener the listener
     */
    void subscribe(Consumer<Configuration> listener);
}
