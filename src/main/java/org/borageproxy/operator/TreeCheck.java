package org.borageproxy.operator;

import java.util.List;

import org.borageproxy.tree.EffectiveTree;
import org.borageproxy.tree.TreeError;

/** Checks a valid tree against the fleet before it is accepted. Implementations are safe for use by any thread. */
@FunctionalInterface
public interface TreeCheck {

    /**
     * Checks a tree.
     *
     * @param tree the tree
     * @return what is wrong, empty if nothing is
     */
    List<TreeError> check(EffectiveTree tree);

    /** Checks that need nothing. */
    enum NoOp implements TreeCheck {
        /** Accepts every tree. */
        INSTANCE;

        @Override
        public List<TreeError> check(EffectiveTree tree) {
            return List.of();
        }
    }
}
