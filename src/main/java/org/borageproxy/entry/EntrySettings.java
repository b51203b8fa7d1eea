package org.borageproxy.entry;

import java.time.Duration;

import org.borageproxy.execution.ExecutionSettings;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmName;

/**
 * The settings of the callers' interface of one VM. Immutable and thread safe.
 *
 * @param vm the name of this VM
 * @param zone the zone of this VM
 * @param host the IP address to listen at
 * @param port the TCP port to listen at, zero for any free one
 * @param eventLoops the event loops that serve callers
 * @param limits the bounds on what callers send
 * @param drainNoticePeriod how long requests are served as usual after readiness failed
 * @param execution the settings of the execution of requests
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

    /** The event loops that serve callers unless others are stated. */
    private static final int DEFAULT_EVENT_LOOPS = 2;
    /** The notice of a drain unless another is stated. */
    private static final Duration DEFAULT_DRAIN_NOTICE = Duration.ofSeconds(2);

    /** Refuses values without meaning. */
    public EntrySettings {
        if (eventLoops < 1) {
            throw new IllegalArgumentException("At least one event loop is needed");
        }
    }

    /**
     * Returns settings with the default bounds.
     *
     * @param vm the name of this VM
     * @param zone the zone of this VM
     * @param host the IP address to listen at
     * @param port the TCP port to listen at, zero for any free one
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
                DEFAULT_DRAIN_NOTICE,
                ExecutionSettings.DEFAULT);
    }

    /**
     * Returns these settings with other bounds.
     *
     * @param changed the bounds
     * @return a copy with the bounds
     */
    public EntrySettings withLimits(Limits changed) {
        return new EntrySettings(vm, zone, host, port, eventLoops, changed, drainNoticePeriod, execution);
    }

    /**
     * Returns these settings with another notice of a drain.
     *
     * @param changed the notice
     * @return a copy with the notice
     */
    public EntrySettings withDrainNoticePeriod(Duration changed) {
        return new EntrySettings(vm, zone, host, port, eventLoops, limits, changed, execution);
    }

    /**
     * Returns these settings with other settings of the execution.
     *
     * @param changed the settings of the execution
     * @return a copy with the settings
     */
    public EntrySettings withExecution(ExecutionSettings changed) {
        return new EntrySettings(vm, zone, host, port, eventLoops, limits, drainNoticePeriod, changed);
    }

    /**
     * Bounds on what callers send and receive. Immutable and thread safe.
     *
     * @param maximumBodyBytes the largest request body, in bytes
     * @param maximumHeaderBytes the largest sum of header lines, in bytes
     * @param maximumHeaderCount the largest number of header lines
     * @param maximumServiceResponseBytes the largest answer of a plain service, in bytes
     * @param headerTimeout the time for the headers of the first request of a connection to arrive
     * @param idleTimeout the time for the next request of a connection to arrive
     * @param bodyTimeout the time for a request body to arrive
     */
    public record Limits(
            int maximumBodyBytes,
            int maximumHeaderBytes,
            int maximumHeaderCount,
            int maximumServiceResponseBytes,
            Duration headerTimeout,
            Duration idleTimeout,
            Duration bodyTimeout) {

        /** The bounds that hold unless an operator states others. */
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
