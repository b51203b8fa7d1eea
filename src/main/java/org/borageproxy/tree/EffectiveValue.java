package org.borageproxy.tree;

/**
 * A value of a declaration after inheritance is resolved. Immutable and thread safe.
 *
 * @param path the dotted path of the declaration
 * @param key the key within the declaration
 * @param value the value as shown to operators
 * @param origin the path of the branch or declaration that sets the value, or {@link #DEFAULT}
 */
public record EffectiveValue(String path, String key, String value, String origin) {

    /** The origin of default values, which the document does not set. */
    public static final String DEFAULT = "default";
}
