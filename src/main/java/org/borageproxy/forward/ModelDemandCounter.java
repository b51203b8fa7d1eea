package org.borageproxy.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.borageproxy.routing.EngineWork;
import org.borageproxy.wire.proto.CoordinationProtocol.ModelDemand;

/** Counts the demand of this VM's callers by model and adapter. Not thread safe; confined to one event loop. */
final class ModelDemandCounter {

    private final Map<Key, Demand> demands = new HashMap<>();

    private record Key(String service, String model, String adapter) {}

    private static final class Demand {
        private long tokens;
        private int waiting;
    }

    /**
     * Counts the tokens of a request.
     *
     * @param service the service
     * @param work the inference work
     */
    void recordRequest(String service, EngineWork work) {
        demand(service, work).tokens += work.totalTokens();
    }

    /**
     * Changes the number of requests that wait because no engine has the model or adapter loaded.
     *
     * @param service the service
     * @param work the inference work
     * @param change one for a request that starts to wait, minus one for a request that stops waiting
     */
    void addWaiting(String service, EngineWork work, int change) {
        demand(service, work).waiting += change;
    }

    private Demand demand(String service, EngineWork work) {
        return demands.computeIfAbsent(new Key(service, work.model(), work.adapter()), key -> new Demand());
    }

    /**
     * Returns the demand and resets the token counts.
     *
     * @return the tokens requested since the previous call and the requests now waiting, by model and adapter
     */
    List<ModelDemand> drain() {
        List<ModelDemand> drained = new ArrayList<>();
        demands.forEach((key, demand) -> drained.add(ModelDemand.newBuilder()
                .setService(key.service())
                .setModel(key.model())
                .setAdapter(key.adapter())
                .setTokens(demand.tokens)
                .setWaiting(demand.waiting)
                .build()));
        demands.values().forEach(demand -> demand.tokens = 0);
        demands.values().removeIf(demand -> demand.waiting == 0);
        return drained;
    }
}
