package org.borageproxy.tree;

import java.util.function.Consumer;

/**
 * The configuration that this VM serves. Revisions go only forwards. Implementations are safe for use by any thread.
 */
public interface ConfigurationSource {

    /**
     * Returns the configuration served now.
     *
     * @return the configuration
     */
    Configuration current();

    /**
     * Tells whether the control group has confirmed within the freshness lease that the configuration is current.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return {@code true} if keyed requests may be admitted
     */
    boolean isFresh(long nowNanos);

    /**
     * Registers a listener that is called after each change, in order of revisions.
     *
     * @param listener the listener
     */
    void subscribe(Consumer<Configuration> listener);
}
