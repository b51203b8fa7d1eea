package org.borageproxy.engine;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.membership.BackendServerName;

/** Parses the response body of {@code GET /v1/state}. Stateless and thread safe. */
final class EngineStateParser {

    private EngineStateParser() {}

    /**
     * Parses a response body.
     *
     * @param body the body
     * @return the state, or empty if the body is malformed
     */
    static Optional<EngineState> parse(String body) {
        try {
            return Optional.of(parseState(new JsonObject(body)));
        } catch (DecodeException | ClassCastException | IllegalArgumentException | NullPointerException malformed) {
            return Optional.empty();
        }
    }

    private static EngineState parseState(JsonObject json) {
        List<EngineState.AcceleratorMemory> accelerators = json.getJsonArray("accelerators").stream()
                .map(JsonObject.class::cast)
                .map(item -> new EngineState.AcceleratorMemory(
                        item.getString("name"), item.getLong("memory_bytes"), item.getLong("used_bytes")))
                .toList();
        List<EngineState.ModelInMemory> models = json.getJsonArray("models").stream()
                .map(JsonObject.class::cast)
                .map(EngineStateParser::parseModel)
                .toList();
        Set<Long> pending = new HashSet<>();
        json.getJsonArray("pending_orders").forEach(number -> pending.add(((Number) number).longValue()));
        return new EngineState(
                new BackendServerName(json.getString("name")),
                json.getLong("incarnation"),
                json.getLong("highest_fencing", 0L),
                accelerators,
                models,
                pending);
    }

    private static EngineState.ModelInMemory parseModel(JsonObject item) {
        Set<String> adapters = new HashSet<>();
        item.getJsonArray("adapters", new JsonArray()).forEach(adapter -> adapters.add((String) adapter));
        return new EngineState.ModelInMemory(
                item.getString("model"),
                item.getString("version"),
                item.getString("accelerator"),
                adapters,
                item.getBoolean("ready"),
                item.getLong("order", 0L));
    }
}
