package org.borageproxy.tree;

import java.util.List;
import java.util.Map;

/**
 * A branch of the settings tree as written in the document, before inheritance is resolved. Immutable and thread safe.
 *
 * @param path the dotted path of the branch, {@link #ROOT} for the top-level branch
 * @param settings the settings written in the branch, which its declarations and nested branches inherit
 * @param declarations the declarations of the branch itself, without those of nested branches
 * @param branches the nested branches
 */
public record Branch(
        String path, Map<Setting, SettingValue> settings, List<Declaration> declarations, List<Branch> branches) {

    /** The path of the top-level branch. */
    public static final String ROOT = "root";

    /** Creates a branch from unmodifiable copies of the collections. */
    public Branch {
        settings = Map.copyOf(settings);
        declarations = List.copyOf(declarations);
        branches = List.copyOf(branches);
    }
}
