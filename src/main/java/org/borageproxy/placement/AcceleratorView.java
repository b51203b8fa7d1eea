package org.borageproxy.placement;

import java.util.List;

import org.borageproxy.membership.BackendServerName;
import org.borageproxy.vm.AvailabilityZone;

/**
 * An accelerator as the planner sees it. Immutable and thread safe.
 *
 * @param server the engine
 * @param zone the engine's availability zone
 * @param name the accelerator's name
 * @param freeBytes the memory that certainly is free, in bytes
 * @param tokensPerSecond the tokens that the engine generates each second with a full batch
 * @param copies the copies of models on it
 */
public record AcceleratorView(
        BackendServerName server,
        AvailabilityZone zone,
        String name,
        long freeBytes,
        double tokensPerSecond,
        List<CopyView> copies) {

    /** Copies the list. */
    public AcceleratorView {
        copies = List.copyOf(copies);
    }
}
