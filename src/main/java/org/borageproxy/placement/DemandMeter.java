package org.borageproxy.placement;

/** Counts the requests that arrive for each model. Implementations are safe for use by any thread. */
@FunctionalInterface
public interface DemandMeter {

    /**
     * Counts an arrival.
     *
     * @param model the base model's name
     * @param adapter the adapter's name, empty for none
     * @param tokens the request's cost in tokens
     */
    void recordArrival(String model, String adapter, long tokens);
}
