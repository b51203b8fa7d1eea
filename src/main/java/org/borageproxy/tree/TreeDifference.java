package org.borageproxy.tree;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An effective value that differs between two trees. Immutable and thread safe.
 *
 * @param path the path of the declaration
 * @param key the key of the value
 * @param before the earlier value, empty if there was none
 * @param after the later value, empty if there is none
 */
public record TreeDifference(String path, String key, String before, String after) {

    /**
     * Compares the effective values of two trees.
     *
     * @param before the earlier tree
     * @param after the later tree
     * @return the differences, changed and new values first
     */
    public static List<TreeDifference> between(EffectiveTree before, EffectiveTree after) {
        Map<Name, String> earlier = valuesOf(before);
        Map<Name, String> later = valuesOf(after);
        List<TreeDifference> differences = new ArrayList<>();
        later.forEach((name, value) -> {
            String old = earlier.remove(name);
            if (!value.equals(old)) {
                differences.add(new TreeDifference(name.path(), name.key(), old == null ? "" : old, value));
            }
        });
        earlier.forEach((name, value) -> differences.add(new TreeDifference(name.path(), name.key(), value, "")));
        return differences;
    }

    /**
     * Indexes the effective values of a tree.
     *
     * @param tree the tree
     * @return the values by name in order of the document
     */
    private static Map<Name, String> valuesOf(EffectiveTree tree) {
        Map<Name, String> values = new LinkedHashMap<>();
        tree.values().forEach(value -> values.put(new Name(value.path(), value.key()), value.value()));
        return values;
    }

    /**
     * Identifies an effective value.
     *
     * @param path the path of the declaration
     * @param key the key of the value
     */
    private record Name(String path, String key) {}
}
