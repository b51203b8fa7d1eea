package org.borageproxy.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.tree.Configuration;

/**
 * Checks whether a copy of every model version, with its adapters, finds room on the accelerators that are known. The
 * largest is placed first, always where it leaves the least room. Stateless and thread safe.
 */
public final class FitCheck {

    /** Not instantiated. */
    private FitCheck() {}

    /** The result of a check. */
    public sealed interface Result {

        /** Every model finds room. */
        record Fits() implements Result {}

        /** No model engine is known, so that nothing can be said. */
        record Unchecked() implements Result {}

        /**
         * Some models find no room.
         *
         * @param unplaced the model versions without room
         */
        record DoesNotFit(List<ModelVersionId> unplaced) implements Result {

            /**
             * Copies the list.
             *
             * @param unplaced the model versions without room
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
     * @param servers the backend servers that are known
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
                        .filter(unit -> !place(unit, free))
                        .forEach(unit -> unplaced.add(unit.id()));
        return unplaced.isEmpty() ? new Result.Fits() : new Result.DoesNotFit(unplaced);
    }

    /**
     * Places a model version with its adapters where it leaves the least room. Adapters that find no room beside their
     * model make the model version count as without room.
     *
     * @param unit the model version
     * @param free the free memory of each accelerator in bytes, which is reduced
     * @return whether it found room
     */
    private static boolean place(DesiredModels.DesiredVersion unit, List<Long> free) {
        int best = -1;
        for (int index = 0; index < free.size(); index++) {
            boolean fits = free.get(index) >= unit.footprintBytes();
            if (fits && (best < 0 || free.get(index) < free.get(best))) {
                best = index;
            }
        }
        if (best >= 0) {
            free.set(best, free.get(best) - unit.footprintBytes());
        }
        return best >= 0;
    }
}
