package org.borageproxy.entry;

import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.MeterRegistry;
import org.borageproxy.result.Execution;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.MonotonicClock;

/** Counts one call when it is completed, once. Confined to the request's event loop. */
final class CallMetrics implements CallerResponse.CompletionListener {

    /** The metrics. */
    private final MeterRegistry meters;
    /** The monotonic clock. */
    private final MonotonicClock clock;
    /** Runs once the call is completed. */
    private final Runnable onCompleted;
    /** When the call began, in nanoseconds of the monotonic clock. */
    private final long startedNanos;
    /** Whether the call is completed. */
    private boolean completed;

    /**
     * Creates the metrics of a call.
     *
     * @param meters the metrics
     * @param clock the monotonic clock
     * @param onCompleted runs once the call is completed
     */
    private CallMetrics(MeterRegistry meters, MonotonicClock clock, Runnable onCompleted) {
        this.meters = meters;
        this.clock = clock;
        this.onCompleted = onCompleted;
        this.startedNanos = clock.nanoTime();
    }

    /**
     * Starts to measure a call.
     *
     * @param dependencies the other parts of the VM
     * @param onCompleted runs once the call is completed
     * @return the metrics of the call
     */
    static CallMetrics start(EntryDependencies dependencies, Runnable onCompleted) {
        return new CallMetrics(dependencies.meters(), dependencies.clock(), onCompleted);
    }

    @Override
    public void onCompleted(ResultCode code, Execution execution) {
        if (completed) {
            return;
        }
        completed = true;
        meters.counter("borageproxy.requests", "code", code.name(), "outcome", execution.headerValue())
                .increment();
        meters.timer("borageproxy.request.time", "outcome", execution.headerValue())
                .record(clock.nanoTime() - startedNanos, TimeUnit.NANOSECONDS);
        onCompleted.run();
    }
}
