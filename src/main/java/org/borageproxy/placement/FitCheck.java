package org.borageproxy.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.tree.Configuration;

/**
 * Checks whether one copy of every model version, with its adapters, fits into the memory of the known accelerators.
 * Uses the best-fit decreasing heuristic, so that it may miss a packing that exists. Stateless and thread safe.
 */
public final class FitCheck {

    private FitCheck() {}

    /** The result of a check. */
    public sealed interface Result {

        /** Every model version fits. */
        record Fits() implements Result {}

        /** No accelerator is known, so nothing can be checked. */
        record Unchecked() implements Result {}

        /**
         * Some model versions do not fit.
         *
         * @param unplaced the model versions that do not fit
         */
        record DoesNotFit(List<ModelVersionId> unplaced) implements Result {

            /**
             * Copies the list.
             *
             * @param unplaced the model versions that do not fit
             */
            public DoesNotFit {
                unplaced = List.copyOf(unplaced);
            }
        }
    }

    /**
     * Checks a configuration.
     *
     * @param configuration the configuration
     * @param servers the known backend servers
     * @return the result
     */
    public static Result check(Configuration configuration, List<BackendServer> servers) {
        List<Long> free = new ArrayList<>();
        servers.stream()
                .filter(server -> server.kind() == BackendServerKind.ENGINE)
                .filter(server -> server.state() != BackendServerState.LEAVING)
                .flatMap(server -> server.accelerators().stream())
                .forEach(accelerator -> free.add(accelerator.memoryBytes()));
        if (free.isEmpty()) {
            return new Result.Unchecked();
        }
        List<ModelVersionId> unplaced = new ArrayList<>();
        new DesiredModels(configuration, DemandRates.NONE)
                .all().stream()
                        .sorted(Comparator.comparingLong(DesiredModels.DesiredVersion::footprintBytes)
                                .reversed())
                        .filter(desiredVersion -> !tryPlace(desiredVersion, free))
                        .forEach(desiredVersion -> unplaced.add(desiredVersion.id()));
        return unplaced.isEmpty() ? new Result.Fits() : new Result.DoesNotFit(unplaced);
    }

    /**
     * Subtracts the memory of a copy from the accelerator with the least sufficient room. An adapter that doesn't fit
     * beside its model makes the whole model version count as not fitting.
     */
    private static boolean tryPlace(DesiredModels.DesiredVersion desiredVersion, List<Long> free) {
        int best = -1;
        for (int index = 0; index < free.size(); index++) {
            boolean fits = free.get(index) >= desiredVersion.footprintBytes();
            if (fits && (best < 0 || free.get(index) < free.get(best))) {
                best = index;
            }
        }
        if (best >= 0) {
            free.set(best, free.get(best) - desiredVersion.footprintBytes());
        }
        return best >= 0;
    }
}
