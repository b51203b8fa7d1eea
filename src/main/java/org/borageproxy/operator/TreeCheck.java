package org.borageproxy.operator;

import java.util.List;

import org.borageproxy.tree.EffectiveTree;
import org.borageproxy.tree.TreeError;

/** Checks a valid tree against the fleet before it is submitted. Implementations are thread safe. */
@FunctionalInterface
public interface TreeCheck {

    /**
     * Checks a tree.
     *
     * @param tree the tree, with inheritance resolved
     * @return the errors, empty if the tree may be submitted
     */
    List<TreeError> check(EffectiveTree tree);

    /** A check that accepts every tree. */
    enum NoOp implements TreeCheck {
        /** The only instance. */
        INSTANCE;

        @Override
        public List<TreeError> check(EffectiveTree tree) {
            return List.of();
        }
    }
}
