package org.borageproxy.entry;

import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.MeterRegistry;
import org.borageproxy.result.Execution;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.MonotonicClock;

/** Records the metrics of one call when it completes, once. Confined to the request's event loop. */
final class CallMetrics implements CallerResponse.CompletionListener {

    private final MeterRegistry meters;
    private final MonotonicClock clock;
    private final Runnable onCompleted;
    private final long startedNanos;
    private boolean completed;

    private CallMetrics(MeterRegistry meters, MonotonicClock clock, Runnable onCompleted) {
        this.meters = meters;
        this.clock = clock;
        this.onCompleted = onCompleted;
        this.startedNanos = clock.nanoTime();
    }

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
