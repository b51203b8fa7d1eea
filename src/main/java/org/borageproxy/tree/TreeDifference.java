package org.borageproxy.tree;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An effective value that differs between two trees. Immutable and thread safe.
 *
 * @param path the dotted path of the declaration
 * @param key the key within the declaration
 * @param before the earlier value, empty if the earlier tree has none
 * @param after the later value, empty if the later tree has none
 */
public record TreeDifference(String path, String key, String before, String after) {

    /**
     * Compares the effective values of two trees.
     *
     * @param before the earlier tree
     * @param after the later tree
     * @return the differences: changed and added values, followed by removed ones
     */
    public static List<TreeDifference> between(EffectiveTree before, EffectiveTree after) {
        Map<ValueKey, String> earlier = indexValues(before);
        Map<ValueKey, String> later = indexValues(after);
        List<TreeDifference> differences = new ArrayList<>();
        later.forEach((valueKey, value) -> {
            String old = earlier.remove(valueKey);
            if (!value.equals(old)) {
                differences.add(new TreeDifference(valueKey.path(), valueKey.key(), old == null ? "" : old, value));
            }
        });
        earlier.forEach(
                (valueKey, value) -> differences.add(new TreeDifference(valueKey.path(), valueKey.key(), value, "")));
        return differences;
    }

    /**
     * Indexes the effective values of a tree by path and key.
     *
     * @param tree the tree
     * @return the values, in the order of {@link EffectiveTree#values()}
     */
    private static Map<ValueKey, String> indexValues(EffectiveTree tree) {
        Map<ValueKey, String> values = new LinkedHashMap<>();
        tree.values().forEach(value -> values.put(new ValueKey(value.path(), value.key()), value.value()));
        return values;
    }

    /**
     * Identifies an effective value within a tree.
     *
     * @param path the dotted path of the declaration
     * @param key the key within the declaration
     */
    private record ValueKey(String path, String key) {}
}
