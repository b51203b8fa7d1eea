package org.borageproxy.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

import io.netty.util.NetUtil;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.vm.AvailabilityZone;

/**
 * Parses the messages posted to the announce port. Every field is validated before a result is returned. Stateless and
 * thread safe.
 */
final class AnnouncementParser {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:/@-]{1,128}");
    /** Maximum number of items in a list. */
    private static final int MAX_LIST_ITEMS = 1_024;

    private static final int MIN_INTERVAL_MILLIS = 50;
    private static final int MAX_INTERVAL_MILLIS = 10_000;
    private static final int MAX_PORT = 65_535;

    private AnnouncementParser() {}

    /** Result of parsing a message. */
    sealed interface Parsed {

        /**
         * An announcement.
         *
         * @param announcement the announcement
         */
        record Announced(Announcement announcement) implements Parsed {}

        /**
         * A leave.
         *
         * @param name the backend server
         * @param incarnation the incarnation that leaves
         */
        record Left(BackendServerName name, long incarnation) implements Parsed {}

        /**
         * Cache events.
         *
         * @param events the events
         */
        record Cached(CacheEvents events) implements Parsed {}

        /**
         * A malformed message.
         *
         * @param field the invalid field
         * @param expected the expected value
         */
        record Malformed(String field, String expected) implements Parsed {}
    }

    /** Signals an invalid field; does not leave this class. */
    private static final class FieldException extends RuntimeException {

        private final transient Parsed.Malformed malformed;

        FieldException(String field, String expected) {
            super(field, null, false, false);
            malformed = new Parsed.Malformed(field, expected);
        }
    }

    @FunctionalInterface
    private interface Reader {

        Parsed read(JsonObject json);
    }

    /** Parses the body of {@code POST /v1/announce}. */
    static Parsed announcement(String body) {
        return parse(
                body,
                json -> new Parsed.Announced(new Announcement(
                        new BackendServerName(name(json, "name")),
                        number(json, "incarnation", 0, Long.MAX_VALUE),
                        number(json, "sequence", 0, Long.MAX_VALUE),
                        content(json),
                        load(json))));
    }

    /** Parses the body of {@code POST /v1/leave}. */
    static Parsed leave(String body) {
        return parse(
                body,
                json -> new Parsed.Left(
                        new BackendServerName(name(json, "name")), number(json, "incarnation", 0, Long.MAX_VALUE)));
    }

    /** Parses the body of {@code POST /v1/cache-events}. */
    static Parsed cacheEvents(String body) {
        return parse(body, json -> {
            List<CacheEvents.CacheEvent> events = new ArrayList<>();
            for (JsonObject event : objects(json, "events")) {
                events.add(new CacheEvents.CacheEvent(
                        number(event, "sequence", 0, Long.MAX_VALUE),
                        choice(event, "kind", "stored", "evicted").equals("stored"),
                        name(event, "prefix")));
            }
            return new Parsed.Cached(new CacheEvents(
                    new BackendServerName(name(json, "name")), number(json, "incarnation", 0, Long.MAX_VALUE), events));
        });
    }

    private static Parsed parse(String body, Reader reader) {
        try {
            return reader.read(new JsonObject(body));
        } catch (FieldException exception) {
            return exception.malformed;
        } catch (DecodeException exception) {
            return new Parsed.Malformed("body", "a JSON object");
        }
    }

    private static Announcement.Content content(JsonObject json) {
        boolean isEngine = choice(json, "kind", "engine", "service").equals("engine");
        String address = text(json, "address");
        int colon = address.lastIndexOf(':');
        String host = colon < 0 ? "" : address.substring(0, colon);
        require(NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host), "address", "IP address:port");
        return new Announcement.Content(
                isEngine ? BackendServerKind.ENGINE : BackendServerKind.SERVICE,
                new AvailabilityZone(name(json, "zone")),
                host,
                port(address.substring(colon + 1)),
                Boolean.TRUE.equals(json.getValue("checks_fencing")),
                (int) number(json, "interval_millis", MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS),
                names(json, "services"),
                accelerators(json),
                models(json),
                LocalWeights.NONE,
                json.containsKey("software_version") ? name(json, "software_version") : "");
    }

    private static int port(String text) {
        require(text.matches("[0-9]{1,5}"), "address", "IP address:port");
        int port = Integer.parseInt(text);
        require(port >= 1 && port <= MAX_PORT, "address", "a port from 1 to 65535");
        return port;
    }

    private static List<Accelerator> accelerators(JsonObject json) {
        List<Accelerator> accelerators = new ArrayList<>();
        for (JsonObject accelerator : objects(json, "accelerators")) {
            accelerators.add(
                    new Accelerator(name(accelerator, "name"), number(accelerator, "memory_bytes", 0, Long.MAX_VALUE)));
        }
        return accelerators;
    }

    private static List<LoadedModel> models(JsonObject json) {
        List<LoadedModel> models = new ArrayList<>();
        for (JsonObject model : objects(json, "models")) {
            models.add(new LoadedModel(
                    name(model, "model"),
                    name(model, "version"),
                    name(model, "accelerator"),
                    names(model, "adapters")));
        }
        return models;
    }

    /** Reads the load, which is {@link LoadReport#UNKNOWN} if the field is missing. */
    private static LoadReport load(JsonObject json) {
        Object value = json.getValue("load");
        if (value == null) {
            return LoadReport.UNKNOWN;
        }
        require(value instanceof JsonObject, "load", "an object");
        JsonObject load = (JsonObject) value;
        return new LoadReport(
                (int) number(load, "running", 0, Integer.MAX_VALUE),
                (int) number(load, "waiting", 0, Integer.MAX_VALUE),
                (int) number(load, "batch_limit", 1, Integer.MAX_VALUE),
                rate(load, "tokens_per_second"),
                rate(load, "prefill_tokens_per_second"));
    }

    /** Reads a positive, finite number. */
    private static double rate(JsonObject json, String field) {
        Object value = json.getValue(field);
        require(value instanceof Number, field, "a number above zero");
        double rate = ((Number) value).doubleValue();
        require(rate > 0 && Double.isFinite(rate), field, "a number above zero");
        return rate;
    }

    /** Reads a list of objects, empty if the field is missing. */
    private static List<JsonObject> objects(JsonObject json, String field) {
        List<JsonObject> objects = new ArrayList<>();
        for (Object item : array(json, field)) {
            require(item instanceof JsonObject, field, "a list of objects");
            objects.add((JsonObject) item);
        }
        return objects;
    }

    /** Reads a set of names, empty if the field is missing. */
    private static Set<String> names(JsonObject json, String field) {
        Set<String> names = new HashSet<>();
        for (Object item : array(json, field)) {
            require(item instanceof String, field, "a list of names");
            require(NAME.matcher((String) item).matches(), field, "names of 1 to 128 letters, digits or ._:/@-");
            names.add((String) item);
        }
        return names;
    }

    /** Reads a list, empty if the field is missing. */
    private static JsonArray array(JsonObject json, String field) {
        Object value = json.getValue(field);
        if (value == null) {
            return new JsonArray();
        }
        require(value instanceof JsonArray, field, "a list");
        JsonArray array = (JsonArray) value;
        require(array.size() <= MAX_LIST_ITEMS, field, "at most " + MAX_LIST_ITEMS + " items");
        return array;
    }

    private static String choice(JsonObject json, String field, String first, String second) {
        String value = text(json, field);
        require(value.equals(first) || value.equals(second), field, first + " or " + second);
        return value;
    }

    private static String name(JsonObject json, String field) {
        String value = text(json, field);
        require(NAME.matcher(value).matches(), field, "1 to 128 letters, digits or ._:/@-");
        return value;
    }

    private static String text(JsonObject json, String field) {
        Object value = json.getValue(field);
        require(value instanceof String, field, "a text");
        return (String) value;
    }

    private static long number(JsonObject json, String field, long minimum, long maximum) {
        Object value = json.getValue(field);
        String expected = "a whole number from " + minimum + " to " + maximum;
        require(value instanceof Integer || value instanceof Long, field, expected);
        long number = ((Number) value).longValue();
        require(number >= minimum && number <= maximum, field, expected);
        return number;
    }

    private static void require(boolean isValid, String field, String expected) {
        if (!isValid) {
            throw new FieldException(field, expected);
        }
    }
}
