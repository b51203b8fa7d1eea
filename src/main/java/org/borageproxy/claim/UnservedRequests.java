package org.borageproxy.claim;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.borageproxy.time.Deadline;

/**
 * The models and adapters for which requests of this VM were refused because no engine had them. They are reported to
 * the coordinator again and again, so that their claims outlive it. An entry ends when an engine is known to have the
 * model and adapter, or some time after the latest refusal. Confined to one thread.
 */
public final class UnservedRequests {

    /** Time after the latest refusal for which a model or adapter is reported. */
    private static final Duration VALIDITY = Duration.ofSeconds(30);
    /** Time between two reports of one of them; shorter than a new coordinator waits before its first order. */
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
    /** Maximum number of models and adapters that are kept. */
    private static final int MAX_TARGETS = 512;

    private final Map<Target, Refused> refused = new HashMap<>();

    private static final class Refused {
        private final long sinceNanos;
        private Deadline validUntil;
        private Deadline nextReportAt;

        private Refused(long sinceNanos) {
            this.sinceNanos = sinceNanos;
            this.nextReportAt = new Deadline(sinceNanos);
        }
    }

    /**
     * Records that a request was refused.
     *
     * @param target the model and adapter that it needs
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void recordRefusal(Target target, long nowNanos) {
        if (refused.size() < MAX_TARGETS || refused.containsKey(target)) {
            refused.computeIfAbsent(target, key -> new Refused(nowNanos)).validUntil =
                    Deadline.after(nowNanos, VALIDITY);
        }
    }

    /**
     * Returns what has to be reported now, and forgets what is served or no longer asked for.
     *
     * @param isUsable returns whether an engine is known to have a model and adapter
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the time of the first refusal by model and adapter
     */
    public Map<Target, Long> collect(Predicate<Target> isUsable, long nowNanos) {
        Map<Target, Long> reported = new HashMap<>();
        refused.entrySet().removeIf(entry -> {
            Refused each = entry.getValue();
            if (!each.nextReportAt.hasPassed(nowNanos)) {
                return false;
            }
            boolean isOver = each.validUntil.hasPassed(nowNanos) || isUsable.test(entry.getKey());
            if (!isOver) {
                each.nextReportAt = Deadline.after(nowNanos, REPORT_INTERVAL);
                reported.put(entry.getKey(), each.sinceNanos);
            }
            return isOver;
        });
        return reported;
    }
}
