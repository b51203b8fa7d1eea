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
 * The models and adapters that one incarnation of a backend server holds. Immutable and thread safe.
 *
 * @param incarnation the incarnation
 * @param acceptedOrders the number of orders that the server had accepted
 * @param adaptersByModel the adapters of each model that can be used
 * @param loading the models that are being loaded
 */
public record ModelInventory(
        long incarnation, long acceptedOrders, Map<String, Set<String>> adaptersByModel, Set<String> loading) {

    /** Copies the collections. */
    public ModelInventory {
        adaptersByModel = Map.copyOf(adaptersByModel);
        loading = Set.copyOf(loading);
    }

    /**
     * Returns what a server announced.
     *
     * @param server the server
     * @return its models, before any order
     */
    public static ModelInventory announcedBy(BackendServer server) {
        Map<String, Set<String>> adapters = new HashMap<>();
        for (LoadedModel model : server.models()) {
            adapters.put(model.model(), model.adapters());
        }
        return new ModelInventory(server.incarnation(), 0, adapters, Set.of());
    }

    /**
     * Decodes what the coordinator knows.
     *
     * @param encoded the encoded content
     * @return the models
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
     * Encodes these models.
     *
     * @param name the server's name
     * @return the encoded content
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
     * Returns these models without one that turned out to be absent.
     *
     * @param model the model
     * @param adapter the adapter that is absent; empty if the model is
     * @return a changed copy
     */
    public ModelInventory without(String model, String adapter) {
        Map<String, Set<String>> changed = new HashMap<>(adaptersByModel);
        if (adapter.isEmpty()) {
            changed.remove(model);
        } else {
            changed.computeIfPresent(model, (name, adapters) -> adapters.stream()
                    .filter(each -> !each.equals(adapter))
                    .collect(Collectors.toUnmodifiableSet()));
        }
        return new ModelInventory(incarnation, acceptedOrders, changed, loading);
    }

    /**
     * Tells whether a request can run.
     *
     * @param model the model
     * @param adapter the adapter; empty for none
     * @return {@code true} if both can be used
     */
    public boolean contains(String model, String adapter) {
        Set<String> adapters = adaptersByModel.get(model);
        return adapters != null && (adapter.isEmpty() || adapters.contains(adapter));
    }
}
