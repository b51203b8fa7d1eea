package org.borageproxy.placement;

import java.util.List;

import org.borageproxy.tree.Configuration;

/**
 * Everything a plan follows from. Immutable and thread safe.
 *
 * @param configuration the models and adapters that must be reachable
 * @param accelerators the accelerators of the engines that can be used now
 * @param demand the demand for models and adapters
 * @param availableModelLoads how many loads of models may be ordered now
 * @param availableAdapterLoads how many loads of adapters may be ordered now
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
