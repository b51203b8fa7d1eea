package org.borageproxy.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.util.NetUtil;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.membership.Announcement;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BoundedJson;
import org.borageproxy.membership.LoadReport;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.membership.LocalWeights;
import org.borageproxy.vm.AvailabilityZone;

/** Decoder of the heartbeats and departure messages of backend servers. Stateless and thread safe. */
final class HeartbeatDocument {

    private static final String READY = "ready";
    private static final String DRAINING = "draining";
    private static final String NO_ACCELERATOR = "";
    private static final String NO_VERSION = "";
    /** Longest time for which a server may state that it is cold, in milliseconds; longer ones are shortened. */
    static final long MAX_COLD_MILLIS = 3_600_000;

    private static final int MAX_SLOTS = 1_000_000;

    private HeartbeatDocument() {}

    /**
     * A decoded heartbeat. Immutable and thread safe.
     *
     * @param announcement the state that the server announces
     * @param isLeaving whether the server is draining and about to leave
     */
    record Heartbeat(Announcement announcement, boolean isLeaving) {}

    /**
     * Decodes a heartbeat.
     *
     * @param name the name of the server, from the path of the request
     * @param body the JSON document
     * @param intervalMillis the interval between heartbeats, in milliseconds
     * @return the heartbeat, or empty if a field is missing or malformed
     */
    static Optional<Heartbeat> decode(String name, Buffer body, int intervalMillis) {
        try {
            JsonObject json = BoundedJson.parse(body);
            String state = json.getString("State");
            if (!READY.equals(state) && !DRAINING.equals(state)) {
                return Optional.empty();
            }
            long incarnation = BoundedJson.wholeNumber(json, "born", BoundedJson.MAX_WHOLE_NUMBER);
            long sequence = BoundedJson.wholeNumber(json, "Sequence", BoundedJson.MAX_WHOLE_NUMBER);
            int slots = (int) BoundedJson.wholeNumber(json, "Slots", MAX_SLOTS);
            LoadReport load = new LoadReport(0, 0, slots, 1.0, 1.0, decodeCold(json));
            Announcement announcement = new Announcement(
                    new BackendServerName(name), incarnation, sequence, decodeContent(json, intervalMillis), load);
            return Optional.of(new Heartbeat(announcement, DRAINING.equals(state)));
        } catch (DecodeException | ClassCastException | NullPointerException | IllegalArgumentException exception) {
            return Optional.empty();
        }
    }

    private static OptionalLong decodeCold(JsonObject json) {
        Number remaining = json.getNumber("ColdRemainingMs");
        return remaining == null
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, Math.min(MAX_COLD_MILLIS, remaining.longValue())));
    }

    private static Announcement.Content decodeContent(JsonObject json, int intervalMillis) {
        String address = json.getString("Address");
        int colon = address.lastIndexOf(':');
        if (colon < 0 || !NetUtil.isValidIpV4Address(address.substring(0, colon))) {
            throw new IllegalArgumentException("no IP address with a port: " + address);
        }
        List<LoadedModel> models = decodeModels(json.getJsonArray("Models", new JsonArray()));
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
                decodeWeightCopies(json),
                json.getString("Version", NO_VERSION));
    }

    /**
     * Decodes a list of loaded models, which has the same format in heartbeats and in reports of engines.
     *
     * @param json the list
     * @return the models, without accelerators, in the order of the list
     * @throws ClassCastException if an element is not an object or a field has another type
     */
    static List<LoadedModel> decodeModels(JsonArray json) {
        List<LoadedModel> models = new ArrayList<>();
        for (Object value : json) {
            JsonObject model = (JsonObject) value;
            models.add(new LoadedModel(
                    model.getString("Name"),
                    String.valueOf(model.getValue("Version")),
                    NO_ACCELERATOR,
                    decodeNames(model.getJsonArray("Adapters"))));
        }
        return models;
    }

    private static LocalWeights decodeWeightCopies(JsonObject json) {
        JsonObject available = json.getJsonObject("Available");
        return available == null
                ? LocalWeights.NONE
                : new LocalWeights(
                        decodeNames(available.getJsonArray("InMemory")), decodeNames(available.getJsonArray("OnDisk")));
    }

    private static Set<String> decodeNames(JsonArray json) {
        Set<String> names = new HashSet<>();
        if (json != null) {
            for (Object value : json) {
                names.add(value instanceof JsonObject named ? named.getString("Name") : (String) value);
            }
        }
        return names;
    }

    /**
     * Decodes the incarnation in a departure message.
     *
     * @param body the body, which may be empty
     * @return the incarnation, or empty if it is absent or malformed
     */
    static OptionalLong decodeIncarnation(Buffer body) {
        try {
            return body.length() == 0
                    ? OptionalLong.empty()
                    : OptionalLong.of(
                            BoundedJson.wholeNumber(BoundedJson.parse(body), "born", BoundedJson.MAX_WHOLE_NUMBER));
        } catch (DecodeException | ClassCastException | IllegalArgumentException exception) {
            return OptionalLong.empty();
        }
    }
}
