package org.borageproxy.coordination;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.wire.proto.CoordinationProtocol.HeldModel;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerContent;

/**
 * Models and adapters loaded on one incarnation of a backend server. Immutable and thread safe.
 *
 * @param incarnation the incarnation of the server
 * @param acceptedOrders the number of orders that the server had accepted; the larger number marks the later inventory
 *     of an incarnation
 * @param adaptersByModel the usable models, each with its usable adapters
 * @param loading the models that are being loaded
 */
public record ModelInventory(
        long incarnation, long acceptedOrders, Map<String, Set<String>> adaptersByModel, Set<String> loading) {

    /** Copies the map and the set of loading models. */
    public ModelInventory {
        adaptersByModel = Map.copyOf(adaptersByModel);
        loading = Set.copyOf(loading);
    }

    /**
     * Creates the inventory that a server announced.
     *
     * @param server the server
     * @return the announced models, with no accepted order
     */
    public static ModelInventory announcedBy(BackendServer server) {
        Map<String, Set<String>> adapters = new HashMap<>();
        for (LoadedModel model : server.models()) {
            adapters.put(model.model(), model.adapters());
        }
        return new ModelInventory(server.incarnation(), 0, adapters, Set.of());
    }

    /**
     * Decodes an inventory received from the coordinator.
     *
     * @param encoded the encoded inventory
     * @return the inventory
     */
    public static ModelInventory decode(ServerContent encoded) {
        Map<String, Set<String>> adapters = new HashMap<>();
        for (HeldModel model : encoded.getModelsList()) {
            adapters.put(model.getModel(), Set.copyOf(model.getAdaptersList()));
        }
        return new ModelInventory(
                encoded.getIncarnation(), encoded.getOrders(), adapters, Set.copyOf(encoded.getArrivingList()));
    }

    /**
     * Encodes this inventory for entries.
     *
     * @param name the server's name
     * @return the encoded inventory
     */
    public ServerContent encode(String name) {
        ServerContent.Builder content = ServerContent.newBuilder()
                .setName(name)
                .setIncarnation(incarnation)
                .setOrders(acceptedOrders);
        adaptersByModel.forEach((model, adapters) ->
                content.addModels(HeldModel.newBuilder().setModel(model).addAllAdapters(adapters)));
        return content.addAllArriving(loading).build();
    }

    /**
     * Returns this inventory without a model or adapter that the server reported missing.
     *
     * @param model the model
     * @param adapter the missing adapter; empty if the model itself is missing
     * @return a copy; equal to this inventory if it did not contain the model or adapter
     */
    public ModelInventory without(String model, String adapter) {
        Map<String, Set<String>> remaining = new HashMap<>(adaptersByModel);
        if (adapter.isEmpty()) {
            remaining.remove(model);
        } else {
            remaining.computeIfPresent(model, (name, adapters) -> adapters.stream()
                    .filter(each -> !each.equals(adapter))
                    .collect(Collectors.toUnmodifiableSet()));
        }
        return new ModelInventory(incarnation, acceptedOrders, remaining, loading);
    }

    /**
     * Returns whether a model, and an adapter of it, are usable.
     *
     * @param model the model
     * @param adapter the adapter; empty for none
     * @return {@code true} if the model is usable and the adapter is empty or usable
     */
    public boolean contains(String model, String adapter) {
        Set<String> adapters = adaptersByModel.get(model);
        return adapters != null && (adapter.isEmpty() || adapters.contains(adapter));
    }
}
