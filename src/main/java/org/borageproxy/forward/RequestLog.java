package org.borageproxy.forward;

import java.util.Optional;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.wire.proto.CoordinationProtocol.SlotAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The log lines of one request. Used by the event loop of the request. */
final class RequestLog {

    private static final Logger LOGGER = LoggerFactory.getLogger("request");

    private final BufferedRequest held;
    private final MonotonicClock clock;
    private String servers = "";
    private long firstEventMillis = -1;
    private long lastEventMillis;
    private long longestGapMillis;

    RequestLog(BufferedRequest held, MonotonicClock clock) {
        this.held = held;
        this.clock = clock;
    }

    private long ageMillis() {
        return (clock.nanoTime() - held.arrivedAtNanos()) / 1_000_000L;
    }

    private String identity() {
        return held.metadata().requestIdentity();
    }

    void noServer(ServerPool.Unavailability absence, int tried) {
        LOGGER.info(
                "event=request-without-server id={} service={} model={} absence={} tried={} age_ms={}",
                identity(),
                held.service(),
                model(),
                absence,
                tried,
                ageMillis());
    }

    void rateSpent(long tokens, String share) {
        LOGGER.info("event=rate-spent id={} tokens={} share=\"{}\" age_ms={}", identity(), tokens, share, ageMillis());
    }

    private String model() {
        return held.metadata()
                .work()
                .map(work -> work.adapter().isEmpty() ? work.model() : work.model() + '/' + work.adapter())
                .orElse("-");
    }

    void sent(ServerSelector.Choice chosen, int sends, boolean reused, Optional<String> after) {
        servers = servers.isEmpty()
                ? chosen.server().name().value()
                : servers + ',' + chosen.server().name().value();
        if (sends > 1) {
            LOGGER.info(
                    "event=request-sent-again id={} server={} attempt={} after_event={} age_ms={}",
                    identity(),
                    chosen.server().name(),
                    sends,
                    after.orElse("-"),
                    ageMillis());
        }
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

    void rejected(BackendServer server, int status) {
        LOGGER.info(
                "event=request-rejected id={} server={} status={} age_ms={}",
                identity(),
                server.name(),
                status,
                ageMillis());
    }

    void failed(BackendServer server, String reason, long attemptMillis) {
        LOGGER.info(
                "event=attempt-failed id={} server={} incarnation={} reason=\"{}\" attempt_ms={} age_ms={}",
                identity(),
                server.name(),
                server.incarnation(),
                reason,
                attemptMillis,
                ageMillis());
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

    void ended(String outcome, int status, int sends, int events) {
        LOGGER.info(
                "event=request-ended id={} route={} service={} workspace={} model={} outcome=\"{}\" status={} sends={}"
                        + " servers={} events={} first_event_ms={} longest_gap_ms={} age_ms={} left_ms={}",
                identity(),
                held.route().name(),
                held.service(),
                held.workspace().map(each -> each.name()).orElse("-"),
                model(),
                outcome,
                status,
                sends,
                servers.isEmpty() ? "-" : servers,
                events,
                firstEventMillis,
                longestGapMillis,
                ageMillis(),
                held.deadline().remainingMillis(clock.nanoTime()));
    }
}
