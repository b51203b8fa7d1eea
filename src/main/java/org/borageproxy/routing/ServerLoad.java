package org.borageproxy.routing;

import java.time.Duration;

import org.borageproxy.time.Deadline;

/**
 * What this VM has in flight at one incarnation of a backend server, what the other VMs have there, and how the server
 * did lately. Not thread safe; used by the event loop of the requests.
 */
public final class ServerLoad {

    /** The weight of the newest observation in moving means. */
    private static final double NEWEST = 0.2;
    /** How long a server is avoided after its first failure in a row. */
    private static final Duration FIRST_AVOIDANCE = Duration.ofMillis(400);
    /** The most doublings of the avoidance. */
    private static final int MOST_DOUBLINGS = 4;

    private final long incarnation;
    private final PrefixCacheEstimate prefixCache;
    private int requests;
    private int unreadTokens;
    private int heldTokens;
    private int otherRequests;
    private int otherUnreadTokens;
    private int otherHeldTokens;
    private int failures;
    private int answers;
    private int failuresInRow;
    private Deadline avoidedUntil;
    private double failureRate;
    private double latencyRatio = 1.0;

    /**
     * Creates the use of a server.
     *
     * @param incarnation the incarnation
     * @param cacheTokens the tokens that the server keeps
     * @param nowNanos the reading of the clock
     */
    public ServerLoad(long incarnation, long cacheTokens, long nowNanos) {
        this.incarnation = incarnation;
        this.prefixCache = new PrefixCacheEstimate(cacheTokens);
        this.avoidedUntil = new Deadline(nowNanos);
    }

    /**
     * Returns the incarnation.
     *
     * @return the number of the server's start
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the prompts that the server has read.
     *
     * @return the memory
     */
    public PrefixCacheEstimate prefixCache() {
        return prefixCache;
    }

    /**
     * Notes a request that is sent.
     *
     * @param unread the prompt tokens that the server has to read
     * @param held the tokens that it will hold
     */
    public void recordStart(int unread, int held) {
        requests++;
        unreadTokens += unread;
        heldTokens += held;
    }

    /**
     * Notes that a prompt has been read.
     *
     * @param unread the tokens that were noted as unread
     */
    public void recordPrefillEnd(int unread) {
        unreadTokens -= unread;
    }

    /**
     * Notes the end of a request.
     *
     * @param held the tokens that were noted as held
     */
    public void recordEnd(int held) {
        requests--;
        heldTokens -= held;
    }

    /**
     * Takes what the other VMs have in flight.
     *
     * @param newRequests their requests
     * @param newUnread their unread prompt tokens
     * @param newHeld their held tokens
     */
    public void setOtherVmLoad(int newRequests, int newUnread, int newHeld) {
        otherRequests = newRequests;
        otherUnreadTokens = newUnread;
        otherHeldTokens = newHeld;
    }

    /**
     * Notes an answer of the server.
     *
     * @param ratio the time to it in proportion to the expected time
     */
    public void recordSuccess(double ratio) {
        answers++;
        failuresInRow = 0;
        failureRate *= 1 - NEWEST;
        latencyRatio += NEWEST * (ratio - latencyRatio);
    }

    /**
     * Notes a failure of the server.
     *
     * @param nowNanos the reading of the clock
     */
    public void recordFailure(long nowNanos) {
        failures++;
        failureRate += NEWEST * (1 - failureRate);
        int doublings = Math.min(failuresInRow, MOST_DOUBLINGS);
        failuresInRow++;
        avoidedUntil = Deadline.after(nowNanos, FIRST_AVOIDANCE.multipliedBy(1L << doublings));
    }

    /**
     * What happened since the last look.
     *
     * @param failures the attempts that failed or stayed unanswered
     * @param successes the attempts that were answered
     */
    public record OutcomeCounts(int failures, int successes) {}

    /**
     * Returns what happened since the last call.
     *
     * @return the outcomes
     */
    public OutcomeCounts drainOutcomes() {
        OutcomeCounts taken = new OutcomeCounts(failures, answers);
        failures = 0;
        answers = 0;
        return taken;
    }

    boolean isAvoided(long nowNanos) {
        return failuresInRow > 0 && !avoidedUntil.hasPassed(nowNanos);
    }

    double failureRate() {
        return failureRate;
    }

    double latencyRatio() {
        return latencyRatio;
    }

    /**
     * Returns the requests of this VM.
     *
     * @return the number in flight
     */
    public int ownRequests() {
        return requests;
    }

    /**
     * Returns the prompt tokens of this VM that are not read yet.
     *
     * @return the tokens
     */
    public int ownPrefillTokens() {
        return unreadTokens;
    }

    /**
     * Returns the tokens that requests of this VM hold.
     *
     * @return the tokens
     */
    public int ownReservedTokens() {
        return heldTokens;
    }

    /**
     * Returns the requests of all VMs.
     *
     * @return the number in flight
     */
    public int totalRequests() {
        return requests + otherRequests;
    }

    /**
     * Returns the prompt tokens of all VMs that are not read yet.
     *
     * @return the tokens
     */
    public int totalPrefillTokens() {
        return unreadTokens + otherUnreadTokens;
    }

    /**
     * Returns the tokens that requests of all VMs hold.
     *
     * @return the tokens
     */
    public int totalReservedTokens() {
        return heldTokens + otherHeldTokens;
    }
}
