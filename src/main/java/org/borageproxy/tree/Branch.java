package org.borageproxy.tree;

import java.util.List;
import java.util.Map;

/**
 * A branch of the tree as written, before inheritance is resolved. Immutable and thread safe.
 *
 * @param path the path of the branch, {@code root} for the uppermost
 * @param settings the settings written in the branch, which the branches below inherit
 * @param declarations what the branch declares
 * @param branches the branches below
 */
public record Branch(
        String path, Map<Setting, SettingValue> settings, List<Declaration> declarations, List<Branch> branches) {

    /** The path of the uppermost branch. */
    public static final String ROOT = "root";

    /** Copies the collections. */
    public Branch {
        settings = Map.copyOf(settings);
        declarations = List.copyOf(declarations);
        branches = List.copyOf(branches);
    }
}
