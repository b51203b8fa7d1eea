package org.borageproxy.placement;

import java.util.List;

import org.borageproxy.tree.Configuration;

/**
 * The input of a plan. Immutable and thread safe.
 *
 * @param configuration the models and adapters that must be reachable
 * @param accelerators the accelerators of the engines that can be used now
 * @param demand the demand for models and adapters
 * @param availableModelLoads the number of models that may be loaded now
 * @param availableAdapterLoads the number of adapters that may be loaded now
 */
public record PlannerInput(
        Configuration configuration,
        List<AcceleratorView> accelerators,
        DemandRates demand,
        int availableModelLoads,
        int availableAdapterLoads) {

    /** Copies the list. */
    public PlannerInput {
        accelerators = List.copyOf(accelerators);
    }
}
