package org.borageproxy.event;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A named occurrence with its fields, which is written to the log and the time line. Must not contain API keys or
 * credentials. Immutable and thread safe.
 *
 * @param name the event's name in lower case with hyphens, such as {@code server-joined}
 * @param fields the values by field name, in the order in which they are written
 */
public record Event(String name, Map<String, String> fields) {

    /** Copies the fields in iteration order. */
    public Event {
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /**
     * Returns an event without fields.
     *
     * @param name the event's name
     * @return the event
     */
    public static Event named(String name) {
        return new Event(name, Map.of());
    }

    /**
     * Returns a copy of this event with a field set. A new field is appended; an existing one keeps its position.
     *
     * @param field the field's name
     * @param value the field's value, stored as its string form; {@code null} becomes {@code "null"}
     * @return the copy
     */
    public Event with(String field, Object value) {
        Map<String, String> extended = new LinkedHashMap<>(fields);
        extended.put(field, String.valueOf(value));
        return new Event(name, extended);
    }
}
