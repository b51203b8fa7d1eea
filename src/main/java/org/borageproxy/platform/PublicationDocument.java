package org.borageproxy.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.PublishedRoute;
import org.borageproxy.publication.PublishedService;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.publication.Repeatability;
import org.borageproxy.publication.RequestLimits;

/** The document by which operators publish a configuration. Stateless and thread safe. */
final class PublicationDocument {

    private static final String STREAMING = "streaming";
    private static final String SAFE = "safe";
    private static final String UNSAFE = "unsafe";
    private static final int DEFAULT_ATTEMPTS = 1;
    private static final int DEFAULT_CONNECTIONS = 100;
    private static final long DEFAULT_PLAIN_TOKENS = 1;

    private PublicationDocument() {}

    /**
     * Decodes a document.
     *
     * @param document the document
     * @return the publication
     * @throws IllegalArgumentException if it cannot be read in full
     */
    static Publication decode(byte[] document) {
        try {
            return publication(new JsonObject(Buffer.buffer(document)));
        } catch (DecodeException | ClassCastException | NullPointerException exception) {
            throw new IllegalArgumentException("malformed document: " + exception.getMessage(), exception);
        }
    }

    private static Publication publication(JsonObject json) {
        List<PublishedRoute> routes = new ArrayList<>();
        for (JsonObject route : objects(json, "Routes")) {
            routes.add(route(route));
        }
        Map<String, PublishedService> services = new HashMap<>();
        for (JsonObject service : objects(json, "Services")) {
            services.put(text(service, "Name"), service(service));
        }
        Map<String, PublishedWorkspace> workspaces = new HashMap<>();
        for (JsonObject tenant : objects(json, "Tenants")) {
            workspaces.put(text(tenant, "Name"), workspace(tenant));
        }
        return new Publication(
                number(json, "Version").longValue(),
                routes,
                services,
                workspaces,
                limits(json.getJsonObject("Limits")));
    }

    private static PublishedRoute route(JsonObject json) {
        String host = text(json, "Host").toLowerCase(Locale.ROOT);
        return new PublishedRoute(
                json.getString("Name", host + text(json, "PathPrefix")),
                host,
                text(json, "PathPrefix"),
                repeatability(json),
                millis(json, "TimeoutMs"),
                millis(json, "TargetLatencyMs"),
                millis(json, "TargetGapMs"),
                json.getInteger("Priority", 0),
                weightedServices(json),
                json.getInteger("MaxAttempts", DEFAULT_ATTEMPTS),
                json.getBoolean("Public", false));
    }

    private static Repeatability repeatability(JsonObject json) {
        String type = json.getString("Type", UNSAFE);
        return switch (type) {
            case SAFE -> Repeatability.IDEMPOTENT;
            case UNSAFE -> Repeatability.ONCE;
            case STREAMING ->
                json.getBoolean("Resumable", false) ? Repeatability.RESUMABLE_STREAM : Repeatability.STREAM;
            default -> throw new IllegalArgumentException("unknown type of route: " + type);
        };
    }

    private static List<PublishedRoute.WeightedService> weightedServices(JsonObject json) {
        JsonArray split = json.getJsonArray("TrafficSplit");
        if (split == null) {
            return List.of(new PublishedRoute.WeightedService(text(json, "Service"), 1));
        }
        List<PublishedRoute.WeightedService> services = new ArrayList<>();
        for (JsonObject part : objects(json, "TrafficSplit")) {
            services.add(new PublishedRoute.WeightedService(text(part, "Service"), part.getInteger("Weight", 0)));
        }
        return services;
    }

    private static PublishedService service(JsonObject json) {
        return new PublishedService(
                text(json, "Name"),
                json.getInteger("MaxConnections", DEFAULT_CONNECTIONS),
                Optional.ofNullable(json.getJsonObject("Engine")).map(PublicationDocument::engines));
    }

    private static EnginePool engines(JsonObject json) {
        Map<String, EnginePool.EngineModel> models = new HashMap<>();
        for (JsonObject model : objects(json, "Models")) {
            double store = model.getDouble("LoadS", 0.0);
            models.put(
                    text(model, "Name"),
                    new EnginePool.EngineModel(
                            text(model, "Name"),
                            model.getDouble("WeightsMb", 0.0),
                            store,
                            model.getDouble("DiskS", store),
                            model.getDouble("WarmS", store),
                            model.getDouble("AdapterSizeMb", 0.0)));
        }
        return new EnginePool(
                json.getInteger("Slots", 1),
                json.getLong("KvCapacityTokens", 0L),
                json.getInteger("Stride", 1),
                json.getDouble("WeightsMb", 0.0),
                json.getInteger("AdapterSlots", 0),
                json.getDouble("LoadsPerS", 0.0),
                models);
    }

    private static PublishedWorkspace workspace(JsonObject json) {
        Set<String> keys = new HashSet<>();
        for (Object key : json.getJsonArray("ApiKeys", new JsonArray())) {
            keys.add((String) key);
        }
        return new PublishedWorkspace(
                text(json, "Name"),
                keys,
                json.getInteger("Priority", -1),
                json.getLong("RatePerS", 0L),
                json.getLong("Burst", 0L),
                json.getLong("PlainTokens", DEFAULT_PLAIN_TOKENS));
    }

    private static RequestLimits limits(JsonObject json) {
        RequestLimits defaults = RequestLimits.DEFAULT;
        if (json == null) {
            return defaults;
        }
        return new RequestLimits(
                json.getInteger("MaxHeaderBytes", defaults.maxHeaderBytes()),
                json.getInteger("MaxBodyBytes", defaults.maxBodyBytes()),
                Duration.ofMillis(
                        json.getLong("HeaderTimeoutMs", defaults.headerTimeout().toMillis())),
                Duration.ofMillis(
                        json.getLong("IdleTimeoutMs", defaults.idleTimeout().toMillis())));
    }

    private static List<JsonObject> objects(JsonObject json, String field) {
        List<JsonObject> objects = new ArrayList<>();
        for (Object value : json.getJsonArray(field, new JsonArray())) {
            objects.add((JsonObject) value);
        }
        return objects;
    }

    private static Duration millis(JsonObject json, String field) {
        Number value = json.getNumber(field, 0);
        return Duration.ofNanos((long) (value.doubleValue() * 1e6));
    }

    private static String text(JsonObject json, String field) {
        String value = json.getString(field);
        if (value == null) {
            throw new IllegalArgumentException("missing field " + field);
        }
        return value;
    }

    private static Number number(JsonObject json, String field) {
        Number value = json.getNumber(field);
        if (value == null) {
            throw new IllegalArgumentException("missing field " + field);
        }
        return value;
    }
}
