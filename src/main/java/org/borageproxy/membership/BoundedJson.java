package org.borageproxy.membership;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * Parses JSON documents of other writers. Documents that are nested too deeply for the stack of the parser are
 * malformed, and numbers are whole and within bounds instead of being truncated. Stateless and thread safe.
 */
public final class BoundedJson {

    /** Largest whole number that every number format of JSON represents exactly. */
    public static final long MAX_WHOLE_NUMBER = 1L << 53;

    private static final int MAX_DEPTH = 64;

    private BoundedJson() {}

    /**
     * Parses an object.
     *
     * @param document the document, in UTF-8
     * @return the object
     * @throws DecodeException if the document is no JSON object or nested too deeply
     */
    public static JsonObject parse(Buffer document) {
        if (depth(document) > MAX_DEPTH) {
            throw new DecodeException("nested more than " + MAX_DEPTH + " levels deep");
        }
        return new JsonObject(document);
    }

    /** Returns the largest number of open brackets outside strings. */
    private static int depth(Buffer document) {
        int depth = 0;
        int maximum = 0;
        boolean isInString = false;
        for (int position = 0; position < document.length(); position++) {
            byte next = document.getByte(position);
            if (isInString) {
                position += next == '\\' ? 1 : 0;
                isInString = next != '"';
            } else if (next == '"') {
                isInString = true;
            } else if (next == '{' || next == '[') {
                depth++;
                maximum = Math.max(maximum, depth);
            } else if (next == '}' || next == ']') {
                depth--;
            }
        }
        return maximum;
    }

    /**
     * Returns a whole number, in any notation.
     *
     * @param json the object
     * @param field the name of the field
     * @param maximum the largest permitted number, at most {@link #MAX_WHOLE_NUMBER}
     * @return the number, not negative
     * @throws IllegalArgumentException if the field is missing, no number, not whole or out of bounds
     */
    public static long wholeNumber(JsonObject json, String field, long maximum) {
        double value = json.getValue(field) instanceof Number number ? number.doubleValue() : -1;
        if (value != Math.rint(value) || value < 0 || value > maximum) {
            throw new IllegalArgumentException("no whole number from 0 to " + maximum + ": " + field);
        }
        return (long) value;
    }
}
