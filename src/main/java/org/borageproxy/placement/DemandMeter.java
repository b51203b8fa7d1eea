package org.borageproxy.placement;

/** Measures the demand for models and adapters from the requests that arrive. Implementations are thread safe. */
@FunctionalInterface
public interface DemandMeter {

    /**
     * Records the arrival of a request.
     *
     * @param model the name of the base model
     * @param adapter the name of the adapter, empty for none
     * @param tokens the cost of the request in tokens
     */
    void recordArrival(String model, String adapter, long tokens);
}
