package org.borageproxy.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.borageproxy.claim.Target;
import org.borageproxy.claim.UnservedRequests;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.wire.proto.CoordinationProtocol.ModelDemand;

/** Counts the demand of this VM's callers by model and adapter. Not thread safe; confined to one event loop. */
public final class ModelDemandCounter {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final MonotonicClock clock;
    private final Predicate<Target> isUsable;
    private final Map<Target, Demand> demands = new HashMap<>();
    private final UnservedRequests unserved = new UnservedRequests();

    private static final class Demand {
        private long tokens;
        private int waiting;
        private long unservedMillis;
    }

    /**
     * Creates a counter.
     *
     * @param clock the monotonic clock
     * @param isUsable returns whether an engine is known to have a model and adapter
     */
    ModelDemandCounter(MonotonicClock clock, Predicate<Target> isUsable) {
        this.clock = clock;
        this.isUsable = isUsable;
    }

    /**
     * Counts the tokens of a request.
     *
     * @param service the service
     * @param work the inference work
     */
    void recordRequest(String service, EngineWork work) {
        demand(target(service, work)).tokens += work.totalTokens();
    }

    /**
     * Records that a request is refused; it stays in demand if no engine has what it needs.
     *
     * @param request the request
     * @param reason the reason
     */
    void recordRefusal(BufferedRequest request, RefusalReason reason) {
        if (reason == RefusalReason.MODEL_ABSENT) {
            request.metadata()
                    .work()
                    .ifPresent(work -> unserved.recordRefusal(target(request.service(), work), clock.nanoTime()));
        }
    }

    /**
     * Changes the number of requests that wait because no engine has the model or adapter loaded.
     *
     * @param service the service
     * @param work the inference work
     * @param change one for a request that starts to wait, minus one for a request that stops waiting
     */
    void addWaiting(String service, EngineWork work, int change) {
        demand(target(service, work)).waiting += change;
    }

    private static Target target(String service, EngineWork work) {
        return new Target(service, work.model(), work.adapter());
    }

    private Demand demand(Target target) {
        return demands.computeIfAbsent(target, key -> new Demand());
    }

    /**
     * Returns the demand and resets the token counts.
     *
     * @return by model and adapter, the tokens requested since the previous call, the requests now waiting, and from
     *     time to time how long requests have not been served
     */
    public List<ModelDemand> drain() {
        long nowNanos = clock.nanoTime();
        unserved.collect(isUsable, nowNanos)
                .forEach((target, sinceNanos) ->
                        demand(target).unservedMillis = Math.max(1, (nowNanos - sinceNanos) / NANOS_PER_MILLI));
        List<ModelDemand> drained = new ArrayList<>();
        demands.forEach((target, demand) -> drained.add(ModelDemand.newBuilder()
                .setService(target.service())
                .setModel(target.model())
                .setAdapter(target.adapter())
                .setTokens(demand.tokens)
                .setWaiting(demand.waiting)
                .setUnservedMillis(demand.unservedMillis)
                .build()));
        demands.values().forEach(demand -> {
            demand.tokens = 0;
            demand.unservedMillis = 0;
        });
        demands.values().removeIf(demand -> demand.waiting == 0);
        return drained;
    }
}
