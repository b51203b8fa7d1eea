package org.borageproxy.routing;

import java.time.Duration;

import org.borageproxy.routing.speed.SlownessMeter;
import org.borageproxy.time.Deadline;

/**
 * Load of one incarnation of a backend server: the requests in flight of this VM and of the other VMs, and the outcomes
 * of recent attempts. Prefill tokens are prompt tokens that the server has yet to process; reserved tokens are those
 * that requests in flight may occupy in the KV cache. Not thread safe; confined to the event loop of the requests.
 */
public final class ServerLoad {

    /** Weight of a new sample in the exponential moving averages. */
    private static final double SAMPLE_WEIGHT = 0.2;
    /** Time for which a server is avoided after a failure; doubled by each further consecutive failure. */
    private static final Duration INITIAL_AVOIDANCE = Duration.ofMillis(400);

    private static final int MAX_DOUBLINGS = 4;

    private final long incarnation;
    private final PrefixCacheEstimate prefixCache;
    private final SlownessMeter slowness = new SlownessMeter();
    private int ownRequests;
    private int ownPrefillTokens;
    private int ownReservedTokens;
    private int otherRequests;
    private int otherPrefillTokens;
    private int otherReservedTokens;
    private long ownHeldBytes;
    private long otherHeldBytes;
    private long lostBytes;
    private int failures;
    private int successes;
    private int consecutiveFailures;
    private Deadline avoidedUntil;
    private double failureRate;
    private double latencyRatio = 1.0;

    /**
     * Creates the load of an idle server.
     *
     * @param incarnation the incarnation of the server
     * @param cacheTokens the capacity of the server's KV cache in tokens
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public ServerLoad(long incarnation, long cacheTokens, long nowNanos) {
        this.incarnation = incarnation;
        this.prefixCache = new PrefixCacheEstimate(cacheTokens);
        this.avoidedUntil = new Deadline(nowNanos);
    }

    /**
     * Returns the incarnation of the server.
     *
     * @return the incarnation; another one means that the server restarted
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the estimate of the server's prefix cache.
     *
     * @return the estimate, which the caller updates
     */
    public PrefixCacheEstimate prefixCache() {
        return prefixCache;
    }

    /**
     * Returns the meter of how much longer than predicted the server takes for the requests of this VM.
     *
     * @return the meter, which the caller updates
     */
    public SlownessMeter slowness() {
        return slowness;
    }

    /**
     * Records that this VM sends a request.
     *
     * @param prefillTokens the prompt tokens that the server has to process
     * @param reservedTokens the tokens that the request may occupy in the KV cache
     */
    public void recordStart(int prefillTokens, int reservedTokens) {
        ownRequests++;
        ownPrefillTokens += prefillTokens;
        ownReservedTokens += reservedTokens;
    }

    /**
     * Records the end of a prefill.
     *
     * @param prefillTokens the tokens that were recorded at the start
     */
    public void recordPrefillEnd(int prefillTokens) {
        ownPrefillTokens -= prefillTokens;
    }

    /**
     * Records the end of a request of this VM, whatever its outcome.
     *
     * @param reservedTokens the tokens that were recorded at the start
     */
    public void recordEnd(int reservedTokens) {
        ownRequests--;
        ownReservedTokens -= reservedTokens;
    }

    /**
     * Records that a request of this VM begins or ceases to hold memory of the server.
     *
     * @param change the size of its body in bytes, negative at its end
     */
    public void addHeldBytes(long change) {
        ownHeldBytes += change;
    }

    /**
     * Records that a request of this VM failed.
     *
     * @param bytes the size of its body in bytes
     */
    public void recordLostBytes(long bytes) {
        lostBytes += bytes;
    }

    /**
     * Returns and resets the bytes of this VM's failed requests.
     *
     * @return the number of bytes since the previous call
     */
    public long drainLostBytes() {
        long drained = lostBytes;
        lostBytes = 0;
        return drained;
    }

    /**
     * Returns the bytes that this VM's requests hold, or held at their failure.
     *
     * @return the number of bytes, without failures that were drained
     */
    public long heldOrLostBytes() {
        return ownHeldBytes + lostBytes;
    }

    /**
     * Adds a request to the load of the other VMs.
     *
     * @param prefillTokens its prefill tokens
     * @param reservedTokens its reserved tokens
     * @param bodyBytes the size of its body in bytes
     */
    public void addOtherVmRequest(int prefillTokens, int reservedTokens, long bodyBytes) {
        setOtherVmLoad(
                totalRequests() + 1, totalPrefillTokens() + prefillTokens, totalReservedTokens() + reservedTokens);
        setOtherHeldBytes(totalHeldBytes() + bodyBytes);
    }

    /**
     * Replaces the bytes that the requests of the other VMs hold.
     *
     * @param bytes the number of bytes
     */
    public void setOtherHeldBytes(long bytes) {
        otherHeldBytes = bytes;
    }

    /**
     * Returns the bytes that this VM's requests hold.
     *
     * @return the number of bytes
     */
    public long ownHeldBytes() {
        return ownHeldBytes;
    }

    /**
     * Returns the bytes that the requests of all VMs hold.
     *
     * @return the number of bytes
     */
    public long totalHeldBytes() {
        return ownHeldBytes + otherHeldBytes;
    }

    /**
     * Returns whether the other VMs have tokens reserved at the server, which only model engines have.
     *
     * @return {@code false} for a plain service, or without requests of other VMs
     */
    public boolean hasOtherVmTokens() {
        return otherReservedTokens > 0;
    }

    /**
     * Replaces the load of the other VMs.
     *
     * @param requests their requests in flight
     * @param prefillTokens their prefill tokens
     * @param reservedTokens their reserved tokens
     */
    public void setOtherVmLoad(int requests, int prefillTokens, int reservedTokens) {
        otherRequests = requests;
        otherPrefillTokens = prefillTokens;
        otherReservedTokens = reservedTokens;
    }

    /**
     * Records an answer of the server.
     *
     * @param ratio the ratio of observed to expected latency
     */
    public void recordSuccess(double ratio) {
        successes++;
        consecutiveFailures = 0;
        failureRate *= 1 - SAMPLE_WEIGHT;
        latencyRatio += SAMPLE_WEIGHT * (ratio - latencyRatio);
    }

    /**
     * Records a failed attempt and avoids the server for a while.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void recordFailure(long nowNanos) {
        failures++;
        failureRate += SAMPLE_WEIGHT * (1 - failureRate);
        int doublings = Math.min(consecutiveFailures, MAX_DOUBLINGS);
        consecutiveFailures++;
        avoidedUntil = Deadline.after(nowNanos, INITIAL_AVOIDANCE.multipliedBy(1L << doublings));
    }

    /**
     * Outcomes of attempts since the counts were last drained.
     *
     * @param failures the number of attempts that failed or were not answered in time
     * @param successes the number of attempts that were answered
     */
    public record OutcomeCounts(int failures, int successes) {}

    /**
     * Returns and resets the outcome counts.
     *
     * @return the counts since the previous call
     */
    public OutcomeCounts drainOutcomes() {
        OutcomeCounts counts = new OutcomeCounts(failures, successes);
        failures = 0;
        successes = 0;
        return counts;
    }

    boolean isAvoided(long nowNanos) {
        return consecutiveFailures > 0 && !avoidedUntil.hasPassed(nowNanos);
    }

    double failureRate() {
        return failureRate;
    }

    double latencyRatio() {
        return latencyRatio;
    }

    /**
     * Returns the number of requests of this VM in flight.
     *
     * @return the number of requests
     */
    public int ownRequests() {
        return ownRequests;
    }

    /**
     * Returns the prefill tokens of this VM's requests.
     *
     * @return the number of tokens
     */
    public int ownPrefillTokens() {
        return ownPrefillTokens;
    }

    /**
     * Returns the reserved tokens of this VM's requests.
     *
     * @return the number of tokens
     */
    public int ownReservedTokens() {
        return ownReservedTokens;
    }

    /**
     * Returns the number of requests of all VMs in flight.
     *
     * @return the number of requests
     */
    public int totalRequests() {
        return ownRequests + otherRequests;
    }

    /**
     * Returns the prefill tokens of all VMs' requests.
     *
     * @return the number of tokens
     */
    public int totalPrefillTokens() {
        return ownPrefillTokens + otherPrefillTokens;
    }

    /**
     * Returns the reserved tokens of all VMs' requests.
     *
     * @return the number of tokens
     */
    public int totalReservedTokens() {
        return ownReservedTokens + otherReservedTokens;
    }
}
