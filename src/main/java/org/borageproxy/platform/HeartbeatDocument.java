package org.borageproxy.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.membership.Announcement;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.LoadReport;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.membership.WeightCopies;
import org.borageproxy.vm.AvailabilityZone;

/** What backend servers say of themselves. Stateless and thread safe. */
final class HeartbeatDocument {

    private static final String READY = "ready";
    private static final String DRAINING = "draining";
    private static final String NO_ACCELERATOR = "";

    private HeartbeatDocument() {}

    /**
     * A heartbeat.
     *
     * @param announcement what the server says
     * @param leaves whether it is about to leave
     */
    record Heartbeat(Announcement announcement, boolean leaves) {}

    /**
     * Decodes a heartbeat.
     *
     * @param name the name in the path of the call
     * @param body the body
     * @param intervalMillis the time between heartbeats, in milliseconds
     * @return empty if a field is missing or malformed
     */
    static Optional<Heartbeat> decode(String name, Buffer body, int intervalMillis) {
        try {
            JsonObject json = new JsonObject(body);
            String state = json.getString("State");
            if (!READY.equals(state) && !DRAINING.equals(state)) {
                return Optional.empty();
            }
            long born = json.getNumber("born").longValue();
            long sequence = json.getNumber("Sequence").longValue();
            LoadReport load = new LoadReport(0, 0, json.getInteger("Slots"), 1.0, 1.0);
            Announcement announcement =
                    new Announcement(new BackendServerName(name), born, sequence, content(json, intervalMillis), load);
            return Optional.of(new Heartbeat(announcement, DRAINING.equals(state)));
        } catch (DecodeException | ClassCastException | NullPointerException | IllegalArgumentException exception) {
            return Optional.empty();
        }
    }

    private static Announcement.Content content(JsonObject json, int intervalMillis) {
        String address = json.getString("Address");
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("no port in the address " + address);
        }
        List<LoadedModel> models = models(json.getJsonArray("Models", new JsonArray()));
        return new Announcement.Content(
                json.containsKey("Models") ? BackendServerKind.ENGINE : BackendServerKind.SERVICE,
                new AvailabilityZone(json.getString("Zone")),
                address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)),
                true,
                intervalMillis,
                Set.of(json.getString("Service")),
                List.of(),
                models,
                copies(json));
    }

    /**
     * Decodes the list of models that heartbeats and reports share.
     *
     * @param json the list
     * @return the models
     */
    static List<LoadedModel> models(JsonArray json) {
        List<LoadedModel> models = new ArrayList<>();
        for (Object value : json) {
            JsonObject model = (JsonObject) value;
            models.add(new LoadedModel(
                    model.getString("Name"),
                    String.valueOf(model.getValue("Version")),
                    NO_ACCELERATOR,
                    names(model.getJsonArray("Adapters"))));
        }
        return models;
    }

    private static WeightCopies copies(JsonObject json) {
        JsonObject available = json.getJsonObject("Available");
        return available == null
                ? WeightCopies.NONE
                : new WeightCopies(names(available.getJsonArray("InMemory")), names(available.getJsonArray("OnDisk")));
    }

    private static Set<String> names(JsonArray json) {
        Set<String> names = new HashSet<>();
        if (json != null) {
            for (Object value : json) {
                names.add(value instanceof JsonObject named ? named.getString("Name") : (String) value);
            }
        }
        return names;
    }

    /**
     * Decodes the incarnation in a farewell.
     *
     * @param body the body, which may be empty
     * @return empty if none is stated
     */
    static OptionalLong incarnation(Buffer body) {
        try {
            Number born = body.length() == 0 ? null : new JsonObject(body).getNumber("born");
            return born == null ? OptionalLong.empty() : OptionalLong.of(born.longValue());
        } catch (DecodeException | ClassCastException exception) {
            return OptionalLong.empty();
        }
    }
}
