package org.borageproxy.placement;

import java.util.List;

import org.borageproxy.membership.BackendServerName;
import org.borageproxy.vm.AvailabilityZone;

/**
 * A snapshot of an accelerator, input of the planner. Immutable and thread safe.
 *
 * @param server the engine that owns the accelerator
 * @param zone the availability zone of the engine
 * @param name the name of the accelerator
 * @param freeBytes the memory in bytes that is certainly free
 * @param tokensPerSecond the tokens per second that the engine generates with a full batch
 * @param copies the copies of model versions on it
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
