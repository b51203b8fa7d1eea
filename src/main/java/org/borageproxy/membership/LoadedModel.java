package org.borageproxy.membership;

import java.util.Set;

/**
 * Model version loaded on a backend server, with its loaded adapters. Immutable and thread safe.
 *
 * @param model the model's name
 * @param version the model's version
 * @param accelerator the accelerator on which it is loaded
 * @param adapters the names of the loaded adapters
 */
public record LoadedModel(String model, String version, String accelerator, Set<String> adapters) {

    /** Copies the set of adapters defensively. */
    public LoadedModel {
        adapters = Set.copyOf(adapters);
    }
}
