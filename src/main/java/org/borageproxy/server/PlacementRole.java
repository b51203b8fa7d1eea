package org.borageproxy.server;

import java.util.List;

import org.borageproxy.control.ControlClient;
import org.borageproxy.control.LedgerStoreForControlGroup;
import org.borageproxy.engine.HttpOrderClient;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.operator.TreeCheck;
import org.borageproxy.placement.DemandAggregator;
import org.borageproxy.placement.DemandMeter;
import org.borageproxy.placement.DemandReporter;
import org.borageproxy.placement.FitCheck;
import org.borageproxy.placement.PlacementDependencies;
import org.borageproxy.placement.PlacementService;
import org.borageproxy.placement.PlacementSettings;
import org.borageproxy.tree.ConfigurationSource;
import org.borageproxy.tree.EffectiveTree;
import org.borageproxy.tree.TreeError;

/**
 * A VM's part in placement: it measures the demand of its callers and, on a VM of the control group, may own the duty
 * that orders models to be loaded. Immutable and thread safe.
 */
final class PlacementRole implements AutoCloseable {

    /** Counts the requests that arrive. */
    private final DemandReporter demand;
    /** Sends orders. */
    private final HttpOrderClient orders;
    /** Takes the duty and sends the digests of the demand. */
    private final PlacementService service;

    /**
     * Starts the role.
     *
     * @param foundation what the role stands on
     * @param client submits commands
     * @param leases the leased duties
     * @param configuration the configuration that this VM serves
     * @param servers the backend servers
     */
    PlacementRole(
            VmFoundation foundation,
            ControlClient client,
            LeaseStore leases,
            ConfigurationSource configuration,
            BackendServers servers) {
        DemandAggregator view = new DemandAggregator(foundation.clock());
        view.register(foundation.network());
        demand = new DemandReporter(
                foundation.self(), foundation.network(), leases, view, foundation.clock(), System.currentTimeMillis());
        orders = new HttpOrderClient(foundation.vertx());
        PlacementDependencies parts = new PlacementDependencies(
                new FreshLeases(leases, configuration, foundation.clock()),
                new LedgerStoreForControlGroup(client),
                orders,
                servers,
                configuration::current,
                view::current,
                PlacementSettings.DEFAULT,
                foundation.clock(),
                foundation.timeLine());
        service = foundation.settings().isControl()
                ? PlacementService.ofCandidate(parts, demand)
                : PlacementService.ofEntryOnly(demand);
        service.start();
    }

    /**
     * Returns the meter of arriving requests.
     *
     * @return the meter
     */
    DemandMeter demandMeter() {
        return demand;
    }

    /**
     * Returns a check that every model of a tree finds room.
     *
     * @param servers the backend servers
     * @return the check
     */
    static TreeCheck fitCheck(BackendServers servers) {
        return tree -> faults(tree, servers);
    }

    /**
     * Lists the models that find no room.
     *
     * @param tree the tree
     * @param servers the backend servers
     * @return a fault for each model version without room
     */
    private static List<TreeError> faults(EffectiveTree tree, BackendServers servers) {
        FitCheck.Result fit = FitCheck.check(tree.configuration(0, java.util.Map.of()), servers.current());
        if (!(fit instanceof FitCheck.Result.DoesNotFit misfit)) {
            return List.of();
        }
        return misfit.unplaced().stream()
                .map(unit -> new TreeError(
                        "models." + unit.model() + ".versions." + unit.version(),
                        0,
                        "finds no room on the accelerators of the known backend servers"))
                .toList();
    }

    /** Gives the duty back and stops. */
    @Override
    public void close() {
        service.close();
        orders.close();
    }
}
