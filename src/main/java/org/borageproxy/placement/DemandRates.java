package org.borageproxy.placement;

import java.util.Map;

/**
 * The demand for models and adapters over all entries. Immutable and thread safe.
 *
 * @param models the demand for base models by name, requests with adapters included
 * @param adapters the demand for adapters by name
 */
public record DemandRates(Map<String, Rate> models, Map<String, Rate> adapters) {

    /** No demand at all. */
    public static final DemandRates NONE = new DemandRates(Map.of(), Map.of());

    /** Copies the maps. */
    public DemandRates {
        models = Map.copyOf(models);
        adapters = Map.copyOf(adapters);
    }

    /**
     * Two averages of a demand, in tokens each second.
     *
     * @param fast the average that follows within seconds
     * @param slow the average that follows within minutes
     */
    public record Rate(double fast, double slow) {

        /** No demand. */
        public static final Rate ZERO = new Rate(0, 0);

        /**
         * Returns the larger of both averages.
         *
         * @return tokens each second
         */
        public double larger() {
            return Math.max(fast, slow);
        }

        /**
         * Adds another demand.
         *
         * @param other the other demand
         * @return the sum
         */
        public Rate plus(Rate other) {
            return new Rate(fast + other.fast, slow + other.slow);
        }

        /**
         * Returns a share of this demand.
         *
         * @param share the share from zero to one
         * @return the part
         */
        public Rate scaledBy(double share) {
            return new Rate(fast * share, slow * share);
        }
    }

    /**
     * Returns the demand for a model.
     *
     * @param model the model's name
     * @return the demand
     */
    public Rate ofModel(String model) {
        return models.getOrDefault(model, Rate.ZERO);
    }

    /**
     * Returns the demand for an adapter.
     *
     * @param adapter the adapter's name
     * @return the demand
     */
    public Rate ofAdapter(String adapter) {
        return adapters.getOrDefault(adapter, Rate.ZERO);
    }
}
