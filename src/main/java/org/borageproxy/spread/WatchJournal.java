package org.borageproxy.spread;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts how this VM comes by the state: requests that failed and why, how long it has been behind, and the
 * way of each published document. Failures are logged once a second at most for each control VM and reason, the other
 * lines once a second while this VM is behind, and once for each document. The counts are bounded by the control VMs.
 * Thread safe.
 */
final class WatchJournal {

    private static final Logger LOGGER = LoggerFactory.getLogger(WatchJournal.class);

    /** Age of the state from which this VM is reported as behind; a VM at rest stays below it. */
    private static final Duration BEHIND_AGE = Duration.ofMillis(1500);

    private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(1);

    private final VmName self;
    private final MonotonicClock clock;

    /** Failures since the newest state was confirmed, by control VM and reason. */
    private final Map<String, Integer> failuresByCause = new TreeMap<>();

    /** Time from which a failure is logged again, by control VM and reason. */
    private final Map<String, Deadline> quietUntil = new TreeMap<>();

    private long failureCount;
    private long receivedBytes;
    /** Requests since the newest state was confirmed. */
    private int requests;

    /** Time of the request whose answer showed that this VM has the newest state. */
    private long confirmedAtNanos;

    /** Whether the present time behind has been logged. */
    private boolean isBehindLogged;

    private Deadline behindQuietUntil;

    /** Reason why a request for the state brought nothing. */
    enum Failure {
        /** No answer came in the time for it. */
        TIMEOUT,
        /** The request was not sent, or its connection was lost. */
        UNREACHABLE,
        /** The control VM could not confirm its state with a majority. */
        UNCONFIRMED,
        /** The answer is older than the state of this VM. */
        OUTDATED,
        /** The answer could not be read or applied. */
        UNREADABLE
    }

    /**
     * Creates a journal.
     *
     * @param self the VM that watches
     * @param clock the monotonic clock
     */
    WatchJournal(VmName self, MonotonicClock clock) {
        this.self = self;
        this.clock = clock;
        this.confirmedAtNanos = clock.nanoTime();
        this.behindQuietUntil = new Deadline(confirmedAtNanos);
    }

    /** Counts a request. */
    synchronized void recordRequest() {
        requests++;
    }

    /** Counts the bytes of an answer, which may have come late. */
    synchronized void recordAnswer(long bytes) {
        receivedBytes += bytes;
    }

    /**
     * Counts and logs a request that brought nothing.
     *
     * @param target the control VM
     * @param failure the reason
     * @param sentAtNanos the time of the request
     */
    synchronized void recordFailure(VmName target, Failure failure, long sentAtNanos) {
        failureCount++;
        String cause = target + ":" + failure;
        int count = failuresByCause.merge(cause, 1, Integer::sum);
        long nowNanos = clock.nanoTime();
        Deadline quiet = quietUntil.get(cause);
        if (quiet == null || quiet.hasPassed(nowNanos)) {
            quietUntil.values().removeIf(until -> until.hasPassed(nowNanos));
            quietUntil.put(cause, Deadline.after(nowNanos, REPEAT_INTERVAL));
            LOGGER.info(
                    "event=state-request-unsuccessful vm={} target={} reason={} waited_ms={} times={} state_age_ms={}",
                    self,
                    target,
                    failure,
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - sentAtNanos),
                    count,
                    ageMillis());
        }
    }

    /**
     * Records that this VM has the newest state.
     *
     * @param sentAtNanos the time of the request whose answer confirmed it
     */
    synchronized void recordConfirmed(long sentAtNanos) {
        if (isBehindLogged) {
            LOGGER.info("event=state-caught-up vm={} behind_ms={} failures={}", self, ageMillis(), failuresByCause);
            isBehindLogged = false;
        }
        confirmedAtNanos = Math.max(confirmedAtNanos, sentAtNanos);
        requests = 0;
        failuresByCause.clear();
    }

    /**
     * Logs that this VM is behind, if it is.
     *
     * @param version the version that it has
     * @param lacking what it knows to exist and does not have, {@code -} for nothing
     */
    synchronized void checkAge(long version, String lacking) {
        long nowNanos = clock.nanoTime();
        boolean isBehind = nowNanos - confirmedAtNanos > BEHIND_AGE.toNanos();
        if (isBehind && behindQuietUntil.hasPassed(nowNanos)) {
            behindQuietUntil = Deadline.after(nowNanos, REPEAT_INTERVAL);
            isBehindLogged = true;
            LOGGER.info(
                    "event=state-behind vm={} state_age_ms={} version={} lacking={} failures={}",
                    self,
                    ageMillis(),
                    version,
                    lacking,
                    failuresByCause);
        }
    }

    /**
     * Logs the arrival of a published document.
     *
     * @param arrival how it came
     */
    synchronized void recordDocument(DocumentArrival arrival) {
        LOGGER.info(
                "event=publication-arrived vm={} number={} version={} from={} state_age_ms={} request_ms={} "
                        + "transfer_ms={} bytes={} received_bytes={} requests={} failures={}",
                self,
                arrival.number(),
                arrival.version(),
                arrival.source(),
                ageMillis(),
                arrival.requestMillis(),
                arrival.transferMillis(),
                arrival.contentBytes(),
                arrival.receivedBytes(),
                requests,
                failuresByCause);
    }

    /** Returns the time since the request whose answer showed that this VM has the newest state, in milliseconds. */
    synchronized long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - confirmedAtNanos);
    }

    /** Returns the number of requests that brought nothing. */
    synchronized long failureCount() {
        return failureCount;
    }

    /** Returns the number of bytes in all answers. */
    synchronized long receivedBytes() {
        return receivedBytes;
    }

    /**
     * How a published document came to this VM.
     *
     * @param number the number of the publication
     * @param version the version of the state at which it was accepted
     * @param source the control VM whose answer named or contained it
     * @param requestMillis the time from that request to its answer, in milliseconds
     * @param transferMillis the time from that answer to the arrival of the whole document, in milliseconds
     * @param contentBytes the size of the document
     * @param receivedBytes the bytes of the answers that brought it
     */
    record DocumentArrival(
            long number,
            long version,
            VmName source,
            long requestMillis,
            long transferMillis,
            long contentBytes,
            long receivedBytes) {}
}
