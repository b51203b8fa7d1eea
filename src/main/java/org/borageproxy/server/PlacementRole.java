package org.borageproxy.server;

import java.util.List;

import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlGroupLedgerStore;
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
 * Placement role of a VM: measures the demand of its callers and, on a VM of the control group, competes for the lease
 * whose holder orders model loads. Immutable and thread safe.
 */
final class PlacementRole implements AutoCloseable {

    private final DemandReporter demandReporter;
    private final HttpOrderClient orderClient;
    private final PlacementService service;

    /**
     * Starts the role.
     *
     * @param runtime the shared resources of the VM
     * @param client submits commands to the control group
     * @param leases the lease store
     * @param configuration the configuration in force on this VM
     * @param servers the backend servers
     */
    PlacementRole(
            VmRuntime runtime,
            ControlClient client,
            LeaseStore leases,
            ConfigurationSource configuration,
            BackendServers servers) {
        DemandAggregator aggregator = new DemandAggregator(runtime.clock());
        aggregator.register(runtime.network());
        demandReporter = new DemandReporter(
                runtime.self(), runtime.network(), leases, aggregator, runtime.clock(), System.currentTimeMillis());
        orderClient = new HttpOrderClient(runtime.vertx());
        PlacementDependencies dependencies = new PlacementDependencies(
                new FreshConfigurationLeaseStore(leases, configuration, runtime.clock()),
                new ControlGroupLedgerStore(client),
                orderClient,
                servers,
                configuration::current,
                aggregator::current,
                PlacementSettings.DEFAULT,
                runtime.clock(),
                runtime.timeLine());
        service = runtime.settings().isControlVm()
                ? PlacementService.ofCandidate(dependencies, demandReporter)
                : PlacementService.ofEntryOnly(demandReporter);
        service.start();
    }

    /**
     * Returns the meter at which the entry records arriving requests.
     *
     * @return the meter
     */
    DemandMeter demandMeter() {
        return demandReporter;
    }

    /**
     * Returns a check that the accelerators have room for all models of a settings tree.
     *
     * @param servers the backend servers
     * @return the check, which reports an error for each model version without room
     */
    static TreeCheck fitCheck(BackendServers servers) {
        return tree -> unplacedModels(tree, servers);
    }

    private static List<TreeError> unplacedModels(EffectiveTree tree, BackendServers servers) {
        FitCheck.Result fit = FitCheck.check(tree.toConfiguration(0, java.util.Map.of()), servers.current());
        if (!(fit instanceof FitCheck.Result.DoesNotFit misfit)) {
            return List.of();
        }
        return misfit.unplaced().stream()
                .map(unplaced -> new TreeError(
                        "models." + unplaced.model() + ".versions." + unplaced.version(),
                        0,
                        "finds no room on the accelerators of the known backend servers"))
                .toList();
    }

    /** Releases the lease and stops. */
    @Override
    public void close() {
        service.close();
        orderClient.close();
    }
}
