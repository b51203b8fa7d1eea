package org.borageproxy.placement;

import java.util.Map;

/**
 * The demand for models and adapters, summed over all entry VMs. Immutable and thread safe.
 *
 * @param models the demand by base model, including requests that use adapters
 * @param adapters the demand by adapter
 */
public record DemandRates(Map<String, Rate> models, Map<String, Rate> adapters) {

    /** No demand for any model or adapter. */
    public static final DemandRates NONE = new DemandRates(Map.of(), Map.of());

    /** Copies the maps. */
    public DemandRates {
        models = Map.copyOf(models);
        adapters = Map.copyOf(adapters);
    }

    /**
     * Two moving averages of the same demand, in tokens per second.
     *
     * @param fast the average that adapts within seconds
     * @param slow the average that adapts within minutes
     */
    public record Rate(double fast, double slow) {

        /** No demand. */
        public static final Rate ZERO = new Rate(0, 0);

        /**
         * Returns the larger of the two averages.
         *
         * @return the demand in tokens per second
         */
        public double larger() {
            return Math.max(fast, slow);
        }

        /**
         * Adds another demand, average by average.
         *
         * @param other the other demand
         * @return the sum
         */
        public Rate plus(Rate other) {
            return new Rate(fast + other.fast, slow + other.slow);
        }

        /**
         * Multiplies both averages by a factor.
         *
         * @param share the factor, from zero to one
         * @return the share of this demand
         */
        public Rate scaledBy(double share) {
            return new Rate(fast * share, slow * share);
        }
    }

    /**
     * Returns the demand for a base model.
     *
     * @param model the name of the model
     * @return the demand, {@link Rate#ZERO} if there is none
     */
    public Rate ofModel(String model) {
        return models.getOrDefault(model, Rate.ZERO);
    }

    /**
     * Returns the demand for an adapter.
     *
     * @param adapter the name of the adapter
     * @return the demand, {@link Rate#ZERO} if there is none
     */
    public Rate ofAdapter(String adapter) {
        return adapters.getOrDefault(adapter, Rate.ZERO);
    }
}
