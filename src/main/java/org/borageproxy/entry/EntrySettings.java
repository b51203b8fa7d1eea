package org.borageproxy.entry;

import java.time.Duration;

import org.borageproxy.execution.ExecutionSettings;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmName;

/**
 * The settings of the server for callers of one VM. Immutable and thread safe.
 *
 * @param vm the name of this VM
 * @param zone the zone of this VM
 * @param host the IP address to listen on
 * @param port the TCP port to listen on, 0 for any free port
 * @param eventLoops the number of event loops that serve callers
 * @param limits the limits on requests and responses
 * @param drainNoticePeriod how long requests are served as before after readiness has failed
 * @param execution the settings of request execution
 */
public record EntrySettings(
        VmName vm,
        AvailabilityZone zone,
        String host,
        int port,
        int eventLoops,
        Limits limits,
        Duration drainNoticePeriod,
        ExecutionSettings execution) {

    private static final int DEFAULT_EVENT_LOOPS = 2;
    private static final Duration DEFAULT_DRAIN_NOTICE_PERIOD = Duration.ofSeconds(2);

    /** Validates the settings. */
    public EntrySettings {
        if (eventLoops < 1) {
            throw new IllegalArgumentException("eventLoops must be at least 1");
        }
    }

    /**
     * Creates settings with defaults.
     *
     * @param vm the name of this VM
     * @param zone the zone of this VM
     * @param host the IP address to listen on
     * @param port the TCP port to listen on, 0 for any free port
     * @return the settings
     */
    public static EntrySettings of(VmName vm, AvailabilityZone zone, String host, int port) {
        return new EntrySettings(
                vm,
                zone,
                host,
                port,
                DEFAULT_EVENT_LOOPS,
                Limits.DEFAULT,
                DEFAULT_DRAIN_NOTICE_PERIOD,
                ExecutionSettings.DEFAULT);
    }

    /**
     * Returns a copy with other limits.
     *
     * @param changed the limits
     * @return the copy
     */
    public EntrySettings withLimits(Limits changed) {
        return new EntrySettings(vm, zone, host, port, eventLoops, changed, drainNoticePeriod, execution);
    }

    /**
     * Returns a copy with another notice period.
     *
     * @param changed the notice period
     * @return the copy
     */
    public EntrySettings withDrainNoticePeriod(Duration changed) {
        return new EntrySettings(vm, zone, host, port, eventLoops, limits, changed, execution);
    }

    /**
     * Returns a copy with other settings of request execution.
     *
     * @param changed the settings of request execution
     * @return the copy
     */
    public EntrySettings withExecution(ExecutionSettings changed) {
        return new EntrySettings(vm, zone, host, port, eventLoops, limits, drainNoticePeriod, changed);
    }

    /**
     * The limits on requests and responses. Immutable and thread safe.
     *
     * @param maximumBodyBytes the maximum size of a request body, in bytes
     * @param maximumHeaderBytes the maximum size of all header lines, and of the request line, in bytes
     * @param maximumHeaderCount the maximum number of header lines
     * @param maximumServiceResponseBytes the maximum size of the response body of a plain service, in bytes
     * @param headerTimeout the timeout for the head of the first request on a connection
     * @param idleTimeout the timeout for the head of the next request on a connection
     * @param bodyTimeout the timeout for a request body
     */
    public record Limits(
            int maximumBodyBytes,
            int maximumHeaderBytes,
            int maximumHeaderCount,
            int maximumServiceResponseBytes,
            Duration headerTimeout,
            Duration idleTimeout,
            Duration bodyTimeout) {

        /** The default limits. */
        public static final Limits DEFAULT = new Limits(
                4_194_304,
                16_384,
                64,
                16_777_216,
                Duration.ofSeconds(10),
                Duration.ofSeconds(60),
                Duration.ofSeconds(30));
    }
}
