package org.borageproxy.operator;

import java.util.ArrayList;
import java.util.List;

import org.borageproxy.control.ControlClient;
import org.borageproxy.control.Timer;
import org.borageproxy.spread.ControlStateWatcher;
import org.borageproxy.spread.StateReader;

/**
 * Creates the routes of the operators' interface that change or read the control group's state. Stateless and thread
 * safe.
 */
public final class OperatorRoutes {

    /** Not instantiated. */
    private OperatorRoutes() {}

    /**
     * Creates the routes for the settings tree, the API keys, the VMs and the status.
     *
     * @param client submits commands to the control group
     * @param reader reads the control group's state
     * @param spread this VM's replica of the control group's state
     * @param timer schedules polls for revisions in force
     * @param check checks trees against the fleet
     * @return the routes
     */
    public static List<OperatorRoute> of(
            ControlClient client, StateReader reader, ControlStateWatcher spread, Timer timer, TreeCheck check) {
        ChangeSubmitter submitter = new ChangeSubmitter(client, reader, timer);
        List<OperatorRoute> routes = new ArrayList<>();
        routes.addAll(new TreeRoutes(submitter, reader, check).routes());
        routes.addAll(new KeyRoutes(submitter, reader, spread).routes());
        routes.add(new OperatorRoute("DELETE", "/v1/vms/{name}", new RemoveVmHandler(submitter)));
        routes.add(new OperatorRoute("GET", "/v1/status", new StatusHandler(client, reader, spread)));
        return routes;
    }
}
