package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;

import org.borageproxy.quota.RateShares;

/**
 * Admission of one request before a server is selected for it: finds what began a stream that is taken up, holds back
 * what is quarantined, and spends the tokens of the workspace. The listener is called at most once, and not after the
 * end of the request. Not thread safe; confined to one event loop.
 */
final class RequestAdmission {

    /** Retry-after time of a stream whose origin is not known, since it may be known soon. */
    private static final Duration UNKNOWN_STREAM_RETRY_AFTER = Duration.ofMillis(300);

    private final ForwardContext context;
    private final BufferedRequest buffered;
    private final RequestLog log;
    private final ResumableStream stream;
    private final CrashEvidence crashEvidence;
    private final Listener listener;
    private final RateAdmission rate;
    private boolean hasEnded;

    /** Receives the decision. Confined to the event loop of the request. */
    interface Listener {

        /** The request may be sent to a server of its service. */
        void onAdmitted();

        /**
         * The request must not be sent.
         *
         * @param reason the reason
         * @param retryAfter when the caller may repeat it; empty if that is of no use
         */
        void onRefused(RefusalReason reason, Optional<Duration> retryAfter);

        /**
         * The request takes up a stream that another service of its route began, and has to be admitted there.
         *
         * @param origin what began the stream
         */
        void onOtherService(StreamOrigin origin);
    }

    RequestAdmission(
            ForwardContext context,
            BufferedRequest buffered,
            RequestLog log,
            ResumableStream stream,
            CrashEvidence crashEvidence,
            Listener listener) {
        this.context = context;
        this.buffered = buffered;
        this.log = log;
        this.stream = stream;
        this.crashEvidence = crashEvidence;
        this.listener = listener;
        this.rate = new RateAdmission(context, buffered);
    }

    void begin() {
        if (stream.isTakenUp() && stream.origin().isEmpty()) {
            log.streamResumed();
            stream.findOrigin(this::resume);
        } else {
            decide();
        }
    }

    private void resume(Optional<StreamOrigin> found) {
        if (hasEnded) {
            return;
        }
        Optional<StreamOrigin> origin = stream.select(found);
        if (origin.isEmpty()) {
            recordArrival();
            listener.onRefused(RefusalReason.STREAM_UNKNOWN, Optional.of(UNKNOWN_STREAM_RETRY_AFTER));
        } else if (origin.get().service().equals(buffered.service())) {
            stream.recordOrigin(origin.get());
            decide();
        } else {
            listener.onOtherService(origin.get());
        }
    }

    private void decide() {
        crashEvidence.decide(
                () -> {
                    recordArrival();
                    rate.admit(listener::onAdmitted, this::refuseRate);
                },
                () -> listener.onRefused(RefusalReason.QUARANTINED, Optional.empty()));
    }

    private void recordArrival() {
        context.retryBudgets().apply(buffered.service()).deposit();
        buffered.metadata().work().ifPresent(work -> context.pool().demand().recordRequest(buffered.service(), work));
    }

    private void refuseRate(RateShares.Shortage shortage) {
        buffered.workspace()
                .ifPresent(workspace -> log.rateSpent(
                        buffered.rateTokens(), context.rateShares().describe(workspace)));
        listener.onRefused(RefusalReason.RATE_SPENT, Optional.of(shortage.retryAfter()));
    }

    /**
     * Records the end of the request.
     *
     * @param mayHaveRun whether a server may have run it, which keeps its tokens spent
     */
    void close(boolean mayHaveRun) {
        hasEnded = true;
        rate.close(mayHaveRun);
        crashEvidence.recordEnd();
    }
}
