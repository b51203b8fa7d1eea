package org.borageproxy.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.membership.BoundedJson;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.PublishedRoute;
import org.borageproxy.publication.PublishedService;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.publication.Repeatability;
import org.borageproxy.publication.RequestLimits;
import org.borageproxy.warmup.WarmUpRules;

/** Decoder of the JSON document with which operators publish a configuration. Stateless and thread safe. */
final class PublicationDocument {

    private static final String STREAMING_TYPE = "streaming";
    private static final String SAFE_TYPE = "safe";
    private static final String UNSAFE_TYPE = "unsafe";
    private static final int DEFAULT_MAX_ATTEMPTS = 1;
    private static final int DEFAULT_MAX_CONNECTIONS = 100;
    private static final long DEFAULT_REQUEST_TOKENS = 1;

    private PublicationDocument() {}

    /**
     * Decodes a document. Checks the format only; {@link Publication#errors} checks the content.
     *
     * @param document the JSON document
     * @return the publication, with defaults for absent optional fields
     * @throws IllegalArgumentException if the document is malformed or lacks a required field
     */
    static Publication decode(byte[] document) {
        try {
            return decodePublication(BoundedJson.parse(Buffer.buffer(document)));
        } catch (DecodeException | ClassCastException | NullPointerException exception) {
            throw new IllegalArgumentException("malformed document: " + exception.getMessage(), exception);
        }
    }

    private static Publication decodePublication(JsonObject json) {
        // An absent list is a document that was cut short, and not one that removes everything.
        if (!json.containsKey("Routes") || !json.containsKey("Services")) {
            throw new IllegalArgumentException("document without Routes or Services");
        }
        List<PublishedRoute> routes = new ArrayList<>();
        for (JsonObject route : objects(json, "Routes")) {
            routes.add(decodeRoute(route));
        }
        Map<String, PublishedService> services = new HashMap<>();
        for (JsonObject service : objects(json, "Services")) {
            services.put(requiredString(service, "Name"), decodeService(service));
        }
        Map<String, PublishedWorkspace> workspaces = new HashMap<>();
        for (JsonObject tenant : objects(json, "Tenants")) {
            workspaces.put(requiredString(tenant, "Name"), decodeWorkspace(tenant));
        }
        return new Publication(
                decodeVersion(json), routes, services, workspaces, decodeLimits(json.getJsonObject("Limits")));
    }

    /** A fraction or a number beyond the range would come into force as another version than the operator stated. */
    private static long decodeVersion(JsonObject json) {
        Number version = requiredNumber(json, "Version");
        if (version instanceof Integer || version instanceof Long) {
            return version.longValue();
        }
        throw new IllegalArgumentException("Version is not an integer: " + version);
    }

    private static PublishedRoute decodeRoute(JsonObject json) {
        String host = requiredString(json, "Host").toLowerCase(Locale.ROOT);
        return new PublishedRoute(
                json.getString("Name", host + requiredString(json, "PathPrefix")),
                host,
                requiredString(json, "PathPrefix"),
                decodeRepeatability(json),
                duration(json, "TimeoutMs"),
                duration(json, "TargetLatencyMs"),
                duration(json, "TargetGapMs"),
                json.getInteger("Priority", 0),
                decodeWeightedServices(json),
                json.getInteger("MaxAttempts", DEFAULT_MAX_ATTEMPTS),
                json.getBoolean("Public", false),
                decodeRegions(json));
    }

    private static Repeatability decodeRepeatability(JsonObject json) {
        String type = json.getString("Type", UNSAFE_TYPE);
        return switch (type) {
            case SAFE_TYPE -> Repeatability.IDEMPOTENT;
            case UNSAFE_TYPE -> Repeatability.ONCE;
            case STREAMING_TYPE ->
                json.getBoolean("Resumable", false) ? Repeatability.RESUMABLE_STREAM : Repeatability.STREAM;
            default -> throw new IllegalArgumentException("unknown type of route: " + type);
        };
    }

    private static List<PublishedRoute.WeightedService> decodeWeightedServices(JsonObject json) {
        JsonArray split = json.getJsonArray("TrafficSplit");
        if (split == null) {
            return List.of(new PublishedRoute.WeightedService(requiredString(json, "Service"), 1));
        }
        List<PublishedRoute.WeightedService> services = new ArrayList<>();
        for (JsonObject destination : objects(json, "TrafficSplit")) {
            services.add(new PublishedRoute.WeightedService(
                    requiredString(destination, "Service"), destination.getInteger("Weight", 0)));
        }
        return services;
    }

    private static PublishedService decodeService(JsonObject json) {
        return new PublishedService(
                requiredString(json, "Name"),
                json.getInteger("MaxConnections", DEFAULT_MAX_CONNECTIONS),
                Optional.ofNullable(json.getJsonObject("Engine")).map(PublicationDocument::decodeEnginePool),
                Optional.ofNullable(json.getString("HealthPath")).filter(path -> path.startsWith("/")),
                decodeWarmUp(json));
    }

    private static WarmUpRules decodeWarmUp(JsonObject json) {
        double perSecond = json.getDouble("ColdPerS", 0.0);
        double seconds = json.getDouble("ColdStartS", 0.0);
        return new WarmUpRules(
                Duration.ofMillis((long) (seconds * 1e3)),
                perSecond > 0 ? OptionalDouble.of(perSecond) : OptionalDouble.empty());
    }

    private static EnginePool decodeEnginePool(JsonObject json) {
        Map<String, EnginePool.EngineModel> models = new HashMap<>();
        for (JsonObject model : objects(json, "Models")) {
            double storeSeconds = model.getDouble("LoadS", 0.0);
            models.put(
                    requiredString(model, "Name"),
                    new EnginePool.EngineModel(
                            requiredString(model, "Name"),
                            model.getDouble("WeightsMb", 0.0),
                            storeSeconds,
                            model.getDouble("DiskS", storeSeconds),
                            model.getDouble("WarmS", storeSeconds),
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

    private static PublishedWorkspace decodeWorkspace(JsonObject json) {
        Set<String> keys = new HashSet<>();
        for (Object key : json.getJsonArray("ApiKeys", new JsonArray())) {
            keys.add((String) key);
        }
        return new PublishedWorkspace(
                requiredString(json, "Name"),
                keys,
                json.getInteger("Priority", -1),
                json.getLong("RatePerS", 0L),
                json.getLong("Burst", 0L),
                json.getLong("PlainTokens", DEFAULT_REQUEST_TOKENS),
                decodeRegions(json));
    }

    private static Set<String> decodeRegions(JsonObject json) {
        Set<String> regions = new HashSet<>();
        for (Object region : json.getJsonArray("AllowedRegions", new JsonArray())) {
            regions.add((String) region);
        }
        return regions;
    }

    private static RequestLimits decodeLimits(JsonObject json) {
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

    private static Duration duration(JsonObject json, String field) {
        Number value = json.getNumber(field, 0);
        return Duration.ofNanos((long) (value.doubleValue() * 1e6));
    }

    private static String requiredString(JsonObject json, String field) {
        String value = json.getString(field);
        if (value == null) {
            throw new IllegalArgumentException("missing field " + field);
        }
        return value;
    }

    private static Number requiredNumber(JsonObject json, String field) {
        Number value = json.getNumber(field);
        if (value == null) {
            throw new IllegalArgumentException("missing field " + field);
        }
        return value;
    }
}
