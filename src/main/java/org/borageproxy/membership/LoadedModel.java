package org.borageproxy.membership;

import java.util.Set;

/**
 * A model version in the memory of a backend server, with the adapters loaded beside it. Immutable and thread safe.
 *
 * @param model the model's name
 * @param version the model's version
 * @param accelerator the accelerator that holds it
 * @param adapters the names of the adapters that are loaded
 */
public record LoadedModel(String model, String version, String accelerator, Set<String> adapters) {

    /** Copies the set of adapters. */
    public LoadedModel {
        adapters = Set.copyOf(adapters);
    }
}
