package org.borageproxy.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;

/**
 * The latest known inventory of each model engine. An inventory of another incarnation than the announced one is not
 * used. Not thread safe; confined to one event loop.
 */
final class ModelInventories {

    private final Map<BackendServerName, ModelInventory> inventories = new HashMap<>();

    /**
     * Returns the inventory of an engine.
     *
     * @param server the engine
     * @return the known inventory, or the announced one if none is known for this incarnation
     */
    ModelInventory of(BackendServer server) {
        ModelInventory known = inventories.get(server.name());
        boolean isCurrent = known != null && known.incarnation() == server.incarnation();
        return isCurrent ? known : ModelInventory.announcedBy(server);
    }

    /**
     * Removes a model or an adapter that an engine does not have.
     *
     * @param server the engine
     * @param model the model
     * @param adapter the adapter; empty for the model itself
     */
    void recordMissing(BackendServer server, String model, String adapter) {
        inventories.put(server.name(), of(server).without(model, adapter));
    }

    /**
     * Updates inventories. Those that are older than the known ones are ignored.
     *
     * @param offered the inventories by engine
     */
    void update(Map<BackendServerName, ModelInventory> offered) {
        offered.forEach((name, inventory) -> inventories.merge(name, inventory, ModelInventories::newer));
    }

    private static ModelInventory newer(ModelInventory known, ModelInventory offered) {
        boolean isOlder = offered.incarnation() < known.incarnation()
                || offered.incarnation() == known.incarnation() && offered.acceptedOrders() < known.acceptedOrders();
        return isOlder ? known : offered;
    }

    /**
     * Removes the inventories of all other engines.
     *
     * @param names the engines to keep
     */
    void retain(Set<BackendServerName> names) {
        inventories.keySet().retainAll(names);
    }
}
