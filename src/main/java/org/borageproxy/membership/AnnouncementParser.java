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
 * Parses what backend servers post to the announce port. Every field is checked before anything is taken over.
 * Stateless and thread safe.
 */
final class AnnouncementParser {

    /** What names may look like. */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:/@-]{1,128}");
    /** The largest number of items in a list. */
    private static final int LARGEST_LIST = 1_024;
    /** The shortest time between two announcements, in milliseconds. */
    private static final int SHORTEST_INTERVAL_MILLIS = 50;
    /** The longest time between two announcements, in milliseconds. */
    private static final int LONGEST_INTERVAL_MILLIS = 10_000;
    /** The largest TCP port. */
    private static final int LARGEST_PORT = 65_535;

    /** Not instantiated. */
    private AnnouncementParser() {}

    /** The result of parsing. */
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
         * @param field the field that is wrong
         * @param expected what was expected there
         */
        record Malformed(String field, String expected) implements Parsed {}
    }

    /** Says that a field is malformed; never leaves this class. */
    private static final class FieldException extends RuntimeException {

        /** The result to return. */
        private final transient Parsed.Malformed malformed;

        /**
         * Creates an exception.
         *
         * @param field the field that is wrong
         * @param expected what was expected there
         */
        FieldException(String field, String expected) {
            super(field, null, false, false);
            malformed = new Parsed.Malformed(field, expected);
        }
    }

    /** Reads one kind of message. */
    @FunctionalInterface
    private interface Reader {

        /**
         * Reads a message.
         *
         * @param json the body
         * @return the result
         */
        Parsed read(JsonObject json);
    }

    /**
     * Parses the body of {@code POST /v1/announce}.
     *
     * @param body the body
     * @return the result
     */
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

    /**
     * Parses the body of {@code POST /v1/leave}.
     *
     * @param body the body
     * @return the result
     */
    static Parsed leave(String body) {
        return parse(
                body,
                json -> new Parsed.Left(
                        new BackendServerName(name(json, "name")), number(json, "incarnation", 0, Long.MAX_VALUE)));
    }

    /**
     * Parses the body of {@code POST /v1/cache-events}.
     *
     * @param body the body
     * @return the result
     */
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

    /**
     * Parses a body.
     *
     * @param body the body
     * @param reader reads the message
     * @return the result
     */
    private static Parsed parse(String body, Reader reader) {
        try {
            return reader.read(new JsonObject(body));
        } catch (FieldException wrong) {
            return wrong.malformed;
        } catch (DecodeException wrong) {
            return new Parsed.Malformed("body", "a JSON object");
        }
    }

    /**
     * Reads what rarely changes.
     *
     * @param json the body
     * @return the content
     */
    private static Announcement.Content content(JsonObject json) {
        boolean engine = choice(json, "kind", "engine", "service").equals("engine");
        String address = text(json, "address");
        int colon = address.lastIndexOf(':');
        String host = colon < 0 ? "" : address.substring(0, colon);
        check(NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host), "address", "IP address:port");
        return new Announcement.Content(
                engine ? BackendServerKind.ENGINE : BackendServerKind.SERVICE,
                new AvailabilityZone(name(json, "zone")),
                host,
                port(address.substring(colon + 1)),
                Boolean.TRUE.equals(json.getValue("checks_fencing")),
                (int) number(json, "interval_millis", SHORTEST_INTERVAL_MILLIS, LONGEST_INTERVAL_MILLIS),
                names(json, "services"),
                accelerators(json),
                models(json));
    }

    /**
     * Reads a TCP port.
     *
     * @param text the port's digits
     * @return the port
     */
    private static int port(String text) {
        check(text.matches("[0-9]{1,5}"), "address", "IP address:port");
        int port = Integer.parseInt(text);
        check(port >= 1 && port <= LARGEST_PORT, "address", "a port from 1 to 65535");
        return port;
    }

    /**
     * Reads the accelerators.
     *
     * @param json the body
     * @return the accelerators
     */
    private static List<Accelerator> accelerators(JsonObject json) {
        List<Accelerator> accelerators = new ArrayList<>();
        for (JsonObject accelerator : objects(json, "accelerators")) {
            accelerators.add(
                    new Accelerator(name(accelerator, "name"), number(accelerator, "memory_bytes", 0, Long.MAX_VALUE)));
        }
        return accelerators;
    }

    /**
     * Reads the models.
     *
     * @param json the body
     * @return the models
     */
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

    /**
     * Reads the load.
     *
     * @param json the body
     * @return the load, unknown if the body has none
     */
    private static LoadReport load(JsonObject json) {
        Object value = json.getValue("load");
        if (value == null) {
            return LoadReport.UNKNOWN;
        }
        check(value instanceof JsonObject, "load", "an object");
        JsonObject load = (JsonObject) value;
        return new LoadReport(
                (int) number(load, "running", 0, Integer.MAX_VALUE),
                (int) number(load, "waiting", 0, Integer.MAX_VALUE),
                (int) number(load, "batch_limit", 1, Integer.MAX_VALUE),
                rate(load, "tokens_per_second"),
                rate(load, "prefill_tokens_per_second"));
    }

    /**
     * Reads a rate.
     *
     * @param json the object
     * @param field the field
     * @return the rate
     */
    private static double rate(JsonObject json, String field) {
        Object value = json.getValue(field);
        check(value instanceof Number, field, "a number above zero");
        double rate = ((Number) value).doubleValue();
        check(rate > 0 && Double.isFinite(rate), field, "a number above zero");
        return rate;
    }

    /**
     * Reads a list of objects.
     *
     * @param json the object
     * @param field the field
     * @return the objects, none if the field is missing
     */
    private static List<JsonObject> objects(JsonObject json, String field) {
        List<JsonObject> objects = new ArrayList<>();
        for (Object item : array(json, field)) {
            check(item instanceof JsonObject, field, "a list of objects");
            objects.add((JsonObject) item);
        }
        return objects;
    }

    /**
     * Reads a list of names.
     *
     * @param json the object
     * @param field the field
     * @return the names, none if the field is missing
     */
    private static Set<String> names(JsonObject json, String field) {
        Set<String> names = new HashSet<>();
        for (Object item : array(json, field)) {
            check(item instanceof String, field, "a list of names");
            check(NAME.matcher((String) item).matches(), field, "names of 1 to 128 letters, digits or ._:/@-");
            names.add((String) item);
        }
        return names;
    }

    /**
     * Reads a list.
     *
     * @param json the object
     * @param field the field
     * @return the list, empty if the field is missing
     */
    private static JsonArray array(JsonObject json, String field) {
        Object value = json.getValue(field);
        if (value == null) {
            return new JsonArray();
        }
        check(value instanceof JsonArray, field, "a list");
        JsonArray array = (JsonArray) value;
        check(array.size() <= LARGEST_LIST, field, "at most " + LARGEST_LIST + " items");
        return array;
    }

    /**
     * Reads one of two words.
     *
     * @param json the object
     * @param field the field
     * @param first the first word
     * @param second the second word
     * @return the word
     */
    private static String choice(JsonObject json, String field, String first, String second) {
        String value = text(json, field);
        check(value.equals(first) || value.equals(second), field, first + " or " + second);
        return value;
    }

    /**
     * Reads a name.
     *
     * @param json the object
     * @param field the field
     * @return the name
     */
    private static String name(JsonObject json, String field) {
        String value = text(json, field);
        check(NAME.matcher(value).matches(), field, "1 to 128 letters, digits or ._:/@-");
        return value;
    }

    /**
     * Reads a text.
     *
     * @param json the object
     * @param field the field
     * @return the text
     */
    private static String text(JsonObject json, String field) {
        Object value = json.getValue(field);
        check(value instanceof String, field, "a text");
        return (String) value;
    }

    /**
     * Reads a whole number.
     *
     * @param json the object
     * @param field the field
     * @param smallest the smallest value
     * @param largest the largest value
     * @return the number
     */
    private static long number(JsonObject json, String field, long smallest, long largest) {
        Object value = json.getValue(field);
        String expected = "a whole number from " + smallest + " to " + largest;
        check(value instanceof Integer || value instanceof Long, field, expected);
        long number = ((Number) value).longValue();
        check(number >= smallest && number <= largest, field, expected);
        return number;
    }

    /**
     * Ends parsing if a condition doesn't hold.
     *
     * @param holds the condition
     * @param field the field that is wrong otherwise
     * @param expected what was expected there
     */
    private static void check(boolean holds, String field, String expected) {
        if (!holds) {
            throw new FieldException(field, expected);
        }
    }
}
