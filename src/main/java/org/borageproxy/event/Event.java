package org.borageproxy.event;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Something that happened in a process, with its fields in order. Holds no key or credential. Immutable, thread safe.
 *
 * @param name the event's name in lower case with hyphens, such as {@code server-joined}
 * @param fields the fields by name
 */
public record Event(String name, Map<String, String> fields) {

    /** Copies the fields and keeps their order. */
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
     * Returns this event with one more field.
     *
     * @param field the field's name
     * @param value the field's value
     * @return a copy with the field
     */
    public Event with(String field, Object value) {
        Map<String, String> extended = new LinkedHashMap<>(fields);
        extended.put(field, String.valueOf(value));
        return new Event(name, extended);
    }
}
