package org.borageproxy.operator;

import java.util.ArrayList;
import java.util.List;

import org.borageproxy.control.ControlClient;
import org.borageproxy.control.Timer;
import org.borageproxy.spread.SpreadState;
import org.borageproxy.spread.StateReader;

/** The routes of the operators' interface that concern the control group's state. Stateless and thread safe. */
public final class OperatorRoutes {

    /** Not instantiated. */
    private OperatorRoutes() {}

    /**
     * Returns the routes for the tree, the keys, the VMs and the status.
     *
     * @param client submits commands
     * @param reader reads the state
     * @param spread what this VM holds of the state
     * @param timer looks again later
     * @param check checks trees against the fleet
     * @return the routes
     */
    public static List<OperatorRoute> of(
            ControlClient client, StateReader reader, SpreadState spread, Timer timer, TreeCheck check) {
        Changes changes = new Changes(client, reader, timer);
        List<OperatorRoute> routes = new ArrayList<>();
        routes.addAll(new TreeRoutes(changes, reader, check).routes());
        routes.addAll(new KeyRoutes(changes, reader, spread).routes());
        routes.add(new OperatorRoute("DELETE", "/v1/vms/{name}", new RemoveVmHandler(changes)));
        routes.add(new OperatorRoute("GET", "/v1/status", new StatusHandler(client, reader, spread)));
        return routes;
    }
}
