package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.borageproxy.quota.RateShares;

/**
 * Takes the tokens of one request from the rate of its workspace, waits for a grant of the coordinator where one is
 * needed, and gives the tokens back if the request did not run. Decides once. Used by one event loop only.
 */
final class RateAdmission {

    /** How long a request waits for a grant; after that an entry without coordinator spends its share. */
    private static final Duration GRANT_WAIT = RateShares.GRANT_VALIDITY.plusMillis(50);

    private final ForwardContext parts;
    private final BufferedRequest held;
    private Optional<ScheduledFuture<?>> timer = Optional.empty();
    private boolean isCancelled;
    private boolean holdsTokens;

    RateAdmission(ForwardContext parts, BufferedRequest held) {
        this.parts = parts;
        this.held = held;
    }

    void admit(Runnable admitted, Consumer<RateShares.Shortage> onShortage) {
        Consumer<RateShares.Shortage> refused = shortage -> {
            held.workspace()
                    .ifPresent(workspace -> parts.rateShares().recordRefusal(workspace, held.rateTokens(), nowNanos()));
            onShortage.accept(shortage);
        };
        held.workspace()
                .ifPresent(workspace -> parts.rateShares().recordDemand(workspace, held.rateTokens(), nowNanos()));
        Optional<RateShares.Shortage> shortage = shortage();
        if (shortage.isEmpty()) {
            admitted.run();
        } else if (shortage.get().isGrantable()) {
            Runnable decide = () -> decide(admitted, refused);
            timer = Optional.of(parts.eventLoop().schedule(decide, GRANT_WAIT.toNanos(), TimeUnit.NANOSECONDS));
            held.workspace()
                    .ifPresent(workspace -> parts.rateShares().awaitGrant(workspace, held.rateTokens(), decide));
        } else {
            refused.accept(shortage.get());
        }
    }

    private void decide(Runnable admitted, Consumer<RateShares.Shortage> refused) {
        if (isCancelled || timer.isEmpty()) {
            return;
        }
        stopTimer();
        shortage().ifPresentOrElse(refused, admitted);
    }

    private Optional<RateShares.Shortage> shortage() {
        Optional<RateShares.Shortage> shortage = held.workspace()
                .flatMap(workspace -> parts.rateShares().spend(workspace, held.rateTokens(), nowNanos()));
        holdsTokens = shortage.isEmpty();
        return shortage;
    }

    /** Ends the wait; the tokens of a request that did not run can be spent again. */
    void close(boolean hasRun) {
        isCancelled = true;
        stopTimer();
        if (holdsTokens && !hasRun) {
            held.workspace()
                    .ifPresent(workspace -> parts.rateShares().refund(workspace, held.rateTokens(), nowNanos()));
        }
        holdsTokens = false;
    }

    private void stopTimer() {
        timer.ifPresent(scheduled -> scheduled.cancel(false));
        timer = Optional.empty();
    }

    private long nowNanos() {
        return parts.clock().nanoTime();
    }
}
