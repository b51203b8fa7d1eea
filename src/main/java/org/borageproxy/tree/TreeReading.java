package org.borageproxy.tree;

import java.util.List;

/** The outcome of reading an operators' document. Implementations are immutable. */
public sealed interface TreeReading {

    /**
     * Reads a document, checks the whole of it and resolves inheritance.
     *
     * @param document the document in TOML
     * @return the tree, or everything that is wrong in the document
     */
    static TreeReading of(String document) {
        TreeParser parser = new TreeParser();
        Branch root = parser.parse(document);
        if (!parser.errors().isEmpty()) {
            return new Invalid(parser.errors());
        }
        TreeResolver resolver = new TreeResolver();
        EffectiveTree tree = resolver.resolve(root);
        return resolver.errors().isEmpty() ? new Valid(tree) : new Invalid(resolver.errors());
    }

    /**
     * The document is valid.
     *
     * @param tree the tree
     */
    record Valid(EffectiveTree tree) implements TreeReading {}

    /**
     * The document is not valid.
     *
     * @param errors all errors in order of the document
     */
    record Invalid(List<TreeError> errors) implements TreeReading {

        /**
         * Copies the errors.
         *
         * @param errors all errors in order of the document
         */
        public Invalid {
            errors = List.copyOf(errors);
        }
    }
}
