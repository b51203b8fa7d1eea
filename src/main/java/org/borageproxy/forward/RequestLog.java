package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.Collectors;

import org.borageproxy.buffer.Shortage;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.SlotAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the log lines of one request. Not thread safe; confined to the event loop of the request. */
final class RequestLog {

    private static final Logger LOGGER = LoggerFactory.getLogger("request");
    private static final int MAX_LOGGED_PARTS = 8;

    private final BufferedRequest buffered;
    private final MonotonicClock clock;
    private String triedServers = "";
    private String softwareVersions = "";
    private long firstEventMillis = -1;
    private long lastEventMillis;
    private long longestGapMillis;

    RequestLog(BufferedRequest buffered, MonotonicClock clock) {
        this.buffered = buffered;
        this.clock = clock;
    }

    private long ageMillis() {
        return (clock.nanoTime() - buffered.arrivedAtNanos()) / 1_000_000L;
    }

    private String identity() {
        return buffered.metadata().requestIdentity();
    }

    void noServer(ServerPool.Unavailability unavailability, int triedCount) {
        LOGGER.info(
                "event=request-without-server id={} service={} model={} absence={} tried={} age_ms={}",
                identity(),
                buffered.service(),
                model(),
                unavailability,
                triedCount,
                ageMillis());
    }

    void rateSpent(long tokens, String share) {
        LOGGER.info("event=rate-spent id={} tokens={} share=\"{}\" age_ms={}", identity(), tokens, share, ageMillis());
    }

    private String model() {
        return buffered.metadata()
                .work()
                .map(work -> work.adapter().isEmpty() ? work.model() : work.model() + '/' + work.adapter())
                .orElse("-");
    }

    void sent(ServerSelector.Choice choice, int sends, boolean isReused, Optional<String> lastEventIdentity) {
        triedServers = appended(triedServers, choice.server().name().value());
        softwareVersions = appended(softwareVersions, softwareOf(choice.server()));
        if (sends > 1) {
            LOGGER.info(
                    "event=request-sent-again id={} server={} attempt={} after_event={} age_ms={} software={}",
                    identity(),
                    choice.server().name(),
                    sends,
                    lastEventIdentity.orElse("-"),
                    ageMillis(),
                    softwareOf(choice.server()));
        }
    }

    private static String appended(String list, String item) {
        return list.isEmpty() ? item : list + ',' + item;
    }

    private static String softwareOf(BackendServer server) {
        return server.softwareVersion().isEmpty() ? "-" : server.softwareVersion();
    }

    /** Logs that the request resumes a stream which another request of the caller began. */
    void streamResumed() {
        buffered.metadata()
                .lastEventIdentity()
                .ifPresent(event -> LOGGER.info(
                        "event=stream-resumed id={} begun_by={} after_event={}",
                        identity(),
                        buffered.metadata().resumedRequest().orElse("-"),
                        event));
    }

    void slotAnswered(SlotAnswer answer) {
        boolean isRefused =
                answer.getOutcome() != SlotAnswer.Outcome.CHOSEN && answer.getOutcome() != SlotAnswer.Outcome.AGAIN;
        if (isRefused) {
            LOGGER.info(
                    "event=place-refused id={} model={} outcome={} come_back_ms={} age_ms={}",
                    identity(),
                    model(),
                    answer.getOutcome(),
                    answer.getComeBackMillis(),
                    ageMillis());
        }
    }

    void unknownServer(String server) {
        LOGGER.info("event=place-unknown id={} server={} age_ms={}", identity(), server, ageMillis());
    }

    void skipped(BackendServer server, String reason) {
        LOGGER.info("event=server-skipped id={} server={} reason=\"{}\"", identity(), server.name(), reason);
    }

    /**
     * Logs that a server rejected the request.
     *
     * @param server the server
     * @param status the status of its answer
     * @param retryAfter how long it wants no further requests
     * @param relay the VM that the server answered; empty for this one
     * @param hasSlot whether the coordinator had granted a slot there
     */
    void rejected(
            BackendServer server, int status, Optional<Duration> retryAfter, Optional<VmName> relay, boolean hasSlot) {
        LOGGER.info(
                "event=request-rejected id={} server={} status={} age_ms={} retry_after_ms={} relay={} slot={}",
                identity(),
                server.name(),
                status,
                ageMillis(),
                retryAfter.map(Duration::toMillis).orElse(0L),
                relay.map(VmName::value).orElse("-"),
                hasSlot);
    }

    /**
     * Logs an attempt without a usable answer.
     *
     * @param server the server
     * @param reason the reason
     * @param attemptMillis the duration of the attempt in milliseconds
     * @param receivedBytes the bytes of the answer's body that were received, before its end was missed
     */
    void failed(BackendServer server, String reason, long attemptMillis, long receivedBytes) {
        LOGGER.info(
                "event=attempt-failed id={} server={} incarnation={} reason=\"{}\" attempt_ms={} age_ms={}"
                        + " received_bytes={} parts={}",
                identity(),
                server.name(),
                server.incarnation(),
                reason,
                attemptMillis,
                ageMillis(),
                receivedBytes,
                parts());
    }

    /**
     * Logs that the request is not sent again after an attempt without a usable answer.
     *
     * @param obstacle what keeps it from another attempt
     */
    void notRetried(String obstacle) {
        LOGGER.info(
                "event=request-not-retried id={} service={} obstacle=\"{}\" age_ms={}",
                identity(),
                buffered.service(),
                obstacle,
                ageMillis());
    }

    private String parts() {
        String parts = buffered.metadata()
                .work()
                .map(work -> work.promptParts().stream()
                        .limit(MAX_LOGGED_PARTS)
                        .map(EngineWork.PromptPart::identity)
                        .collect(Collectors.joining(",")))
                .orElse("");
        return parts.isEmpty() ? "-" : parts;
    }

    /**
     * Logs that the server of a streamed answer is not read on, since the caller takes it too slowly.
     *
     * @param unsentBytes the bytes that the caller has not taken
     */
    void readingPaused(long unsentBytes) {
        LOGGER.info(
                "event=answer-not-read id={} workspace={} unsent_bytes={} age_ms={}",
                identity(),
                workspace(),
                unsentBytes,
                ageMillis());
    }

    /**
     * Logs that a caller is disconnected which took nothing of a ready answer until its deadline.
     *
     * @param unsentBytes the bytes that it has not taken
     */
    void callerDisconnected(long unsentBytes) {
        LOGGER.info(
                "event=caller-disconnected id={} workspace={} unsent_bytes={} age_ms={}",
                identity(),
                workspace(),
                unsentBytes,
                ageMillis());
    }

    /**
     * Logs that the request is refused to make room for others.
     *
     * @param shortage the bound under which room is needed
     * @return the time after which a retry may succeed
     */
    Duration evicted(Shortage shortage) {
        LOGGER.info(
                "event=request-evicted id={} workspace={} bound={} held_bytes={} limit_bytes={} room_after_ms={}"
                        + " age_ms={}",
                identity(),
                workspace(),
                shortage.bound(),
                shortage.heldBytes(),
                shortage.limitBytes(),
                shortage.roomAfter().toMillis(),
                ageMillis());
        return shortage.roomAfter();
    }

    private String workspace() {
        return buffered.workspace().map(each -> each.name()).orElse("-");
    }

    void streamEvent() {
        long nowMillis = ageMillis();
        if (firstEventMillis < 0) {
            firstEventMillis = nowMillis;
        } else {
            longestGapMillis = Math.max(longestGapMillis, nowMillis - lastEventMillis);
        }
        lastEventMillis = nowMillis;
    }

    /**
     * Logs the result of the search for what began the stream that the request resumes.
     *
     * @param origin what began the stream; empty if it is not known
     */
    void originFound(Optional<StreamOrigin> origin) {
        LOGGER.info(
                "event=stream-origin id={} known={} service={} software={} age_ms={}",
                identity(),
                origin.isPresent(),
                origin.map(StreamOrigin::service).orElse("-"),
                origin.map(StreamOrigin::softwareVersion).orElse("-"),
                ageMillis());
    }

    void ended(String outcome, int status, int sends, int events) {
        LOGGER.info(
                "event=request-ended id={} route={} service={} workspace={} model={} outcome=\"{}\" status={} sends={}"
                        + " servers={} events={} first_event_ms={} longest_gap_ms={} age_ms={} left_ms={} software={}",
                identity(),
                buffered.route().name(),
                buffered.service(),
                workspace(),
                model(),
                outcome,
                status,
                sends,
                triedServers.isEmpty() ? "-" : triedServers,
                events,
                firstEventMillis,
                longestGapMillis,
                ageMillis(),
                buffered.deadline().remainingMillis(clock.nanoTime()),
                softwareVersions.isEmpty() ? "-" : softwareVersions);
    }
}
