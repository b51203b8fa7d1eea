package org.borageproxy.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.borageproxy.routing.EngineWork;
import org.borageproxy.wire.proto.CoordinationProtocol.ModelDemand;

/** What callers of this VM ask of models and adapters. Not thread safe; used by the event loop of the requests. */
final class ModelDemandCounter {

    private final Map<Key, Demand> demands = new HashMap<>();

    private record Key(String service, String model, String adapter) {}

    private static final class Demand {
        private long tokens;
        private int waiting;
    }

    /**
     * Counts a request.
     *
     * @param service the service
     * @param work the work of an engine
     */
    void recordRequest(String service, EngineWork work) {
        demand(service, work).tokens += work.totalTokens();
    }

    /**
     * Counts requests that wait because no engine holds the model or the adapter.
     *
     * @param service the service
     * @param work the work of an engine
     * @param change one for a request that begins to wait, minus one for one that ends
     */
    void addWaiting(String service, EngineWork work, int change) {
        demand(service, work).waiting += change;
    }

    private Demand demand(String service, EngineWork work) {
        return demands.computeIfAbsent(new Key(service, work.model(), work.adapter()), key -> new Demand());
    }

    /**
     * Returns the demand since the last call.
     *
     * @return tokens asked for and requests waiting, by model and adapter
     */
    List<ModelDemand> drain() {
        List<ModelDemand> taken = new ArrayList<>();
        demands.forEach((key, demand) -> taken.add(ModelDemand.newBuilder()
                .setService(key.service())
                .setModel(key.model())
                .setAdapter(key.adapter())
                .setTokens(demand.tokens)
                .setWaiting(demand.waiting)
                .build()));
        demands.values().forEach(demand -> demand.tokens = 0);
        demands.values().removeIf(demand -> demand.waiting == 0);
        return taken;
    }
}
