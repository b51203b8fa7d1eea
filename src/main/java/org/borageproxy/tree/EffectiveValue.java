package org.borageproxy.tree;

/**
 * A setting of a declaration once inheritance is resolved. Immutable and thread safe.
 *
 * @param path the path of the declaration
 * @param key the key of the value
 * @param value the value as text
 * @param origin the path of the branch or declaration that the value comes from, or {@code default}
 */
public record EffectiveValue(String path, String key, String value, String origin) {

    /** The origin of values that nothing in the document sets. */
    public static final String DEFAULT = "default";
}
