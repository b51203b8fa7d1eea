package org.borageproxy.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.borageproxy.claim.Target;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.time.Deadline;

/**
 * Estimates when models and adapters become usable. Reads the engines; not thread safe, since the engines aren't.
 *
 * @param engines the engines of all services
 * @param pool the pool of the engines of the service that is asked about
 * @param nowNanos the time on the monotonic clock in nanoseconds
 */
record ArrivalEstimates(Collection<TrackedEngine> engines, EnginePool pool, long nowNanos) {

    /** Time until a change shows in the reports of an engine, which lag by several hundred milliseconds. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(500);
    /** Requests stop waiting for a model that is later than expected by more than this. */
    private static final Duration MAX_LOAD_OVERRUN = Duration.ofSeconds(2);

    /**
     * Estimates when a model or an adapter that an engine was ordered to load becomes usable.
     *
     * @param target the model and adapter
     * @return the estimated time, or empty if no engine is loading it
     */
    Optional<Deadline> ordered(Target target) {
        return engines.stream()
                .filter(engine -> target.admits(engine.server())
                        && engine.isBusy()
                        && !Deadline.after(engine.loadCompletesAt().atNanos(), MAX_LOAD_OVERRUN)
                                .hasPassed(nowNanos))
                .flatMap(engine -> ordered(engine, target).stream())
                .min(Comparator.naturalOrder());
    }

    private Optional<Deadline> ordered(TrackedEngine engine, Target target) {
        boolean isLoading = engine.loadingModel().equals(target.model()) || mayLoadAdapterNext(engine, target);
        if (isLoading) {
            return Optional.of(after(freeAt(engine), REPORT_DELAY));
        }
        boolean isNext =
                engine.successorModel().equals(target.model()) && pool.models().containsKey(target.model());
        return isNext ? Optional.of(loadedAt(engine, target.model())) : Optional.empty();
    }

    /**
     * Estimates when a model or an adapter that no engine has or loads would become usable if it were ordered as soon
     * as an engine can take the order.
     *
     * @param target the model and adapter
     * @return the estimated time, or empty if no engine could load it
     */
    Optional<Deadline> earliest(Target target) {
        List<TrackedEngine> admitted = engines.stream()
                .filter(engine -> target.admits(engine.server()))
                .toList();
        if (admitted.stream().anyMatch(engine -> mayLoadAdapterNext(engine, target))) {
            return admitted.stream()
                    .filter(engine -> mayLoadAdapterNext(engine, target))
                    .map(this::freeAt)
                    .min(Comparator.naturalOrder());
        }
        return admitted.stream()
                .filter(engine -> pool.models().containsKey(target.model()))
                .map(engine -> loadedAt(engine, target.model()))
                .min(Comparator.naturalOrder());
    }

    private Deadline loadedAt(TrackedEngine engine, String model) {
        return after(
                freeAt(engine), REPORT_DELAY.plus(engine.loadTime(pool.models().get(model))));
    }

    private Deadline freeAt(TrackedEngine engine) {
        return engine.isBusy()
                ? new Deadline(Math.max(nowNanos, engine.loadCompletesAt().atNanos()))
                : new Deadline(nowNanos);
    }

    private static Deadline after(Deadline start, Duration duration) {
        return Deadline.after(start.atNanos(), duration);
    }

    // An engine that loads a model loads adapters only after it.
    private static boolean mayLoadAdapterNext(TrackedEngine engine, Target target) {
        return !target.adapter().isEmpty() && engine.loadedModels().containsKey(target.model());
    }
}
