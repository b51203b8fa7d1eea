package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.borageproxy.quota.RateShares;

/**
 * Admission of one request under the token rate of its workspace: spends the request's tokens, waits for a grant of the
 * coordinator if needed, and refunds the tokens if the request did not run. Decides exactly once unless closed before.
 * Not thread safe; confined to one event loop.
 */
final class RateAdmission {

    /**
     * Maximum wait for a grant; outlasts the validity of grants, after which an entry without coordinator spends its
     * share.
     */
    private static final Duration GRANT_WAIT = RateShares.GRANT_VALIDITY.plusMillis(50);

    private final ForwardContext context;
    private final BufferedRequest buffered;
    private Optional<ScheduledFuture<?>> timer = Optional.empty();
    private boolean isCancelled;
    private boolean hasSpentTokens;

    RateAdmission(ForwardContext context, BufferedRequest buffered) {
        this.context = context;
        this.buffered = buffered;
    }

    void admit(Runnable onAdmitted, Consumer<RateShares.Shortage> onShortage) {
        Consumer<RateShares.Shortage> onRefused = shortage -> {
            buffered.workspace().ifPresent(workspace -> context.rateShares()
                    .recordRefusal(workspace, buffered.rateTokens(), nowNanos()));
            onShortage.accept(shortage);
        };
        buffered.workspace().ifPresent(workspace -> context.rateShares()
                .recordDemand(workspace, buffered.rateTokens(), nowNanos()));
        Optional<RateShares.Shortage> shortage = spend();
        if (shortage.isEmpty()) {
            onAdmitted.run();
        } else if (shortage.get().isGrantable()) {
            Runnable decide = () -> decide(onAdmitted, onRefused);
            timer = Optional.of(context.eventLoop().schedule(decide, GRANT_WAIT.toNanos(), TimeUnit.NANOSECONDS));
            buffered.workspace()
                    .ifPresent(workspace -> context.rateShares().awaitGrant(workspace, buffered.rateTokens(), decide));
        } else {
            onRefused.accept(shortage.get());
        }
    }

    private void decide(Runnable onAdmitted, Consumer<RateShares.Shortage> onRefused) {
        if (isCancelled || timer.isEmpty()) {
            return;
        }
        stopTimer();
        spend().ifPresentOrElse(onRefused, onAdmitted);
    }

    private Optional<RateShares.Shortage> spend() {
        Optional<RateShares.Shortage> shortage = buffered.workspace()
                .flatMap(workspace -> context.rateShares().spend(workspace, buffered.rateTokens(), nowNanos()));
        hasSpentTokens = shortage.isEmpty();
        return shortage;
    }

    /** Ends the wait and refunds the tokens of a request that did not run. */
    void close(boolean hasRun) {
        isCancelled = true;
        stopTimer();
        if (hasSpentTokens && !hasRun) {
            buffered.workspace()
                    .ifPresent(workspace -> context.rateShares().refund(workspace, buffered.rateTokens(), nowNanos()));
        }
        hasSpentTokens = false;
    }

    private void stopTimer() {
        timer.ifPresent(scheduled -> scheduled.cancel(false));
        timer = Optional.empty();
    }

    private long nowNanos() {
        return context.clock().nanoTime();
    }
}
