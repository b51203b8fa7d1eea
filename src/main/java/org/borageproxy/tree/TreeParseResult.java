package org.borageproxy.tree;

import java.util.List;

/** The result of parsing and validating a document of the settings tree. Implementations are immutable. */
public sealed interface TreeParseResult {

    /**
     * Parses and validates a document and resolves inheritance.
     *
     * <p>Uniqueness, references and inherited values are checked only in a document whose syntax, keys, types and
     * ranges are valid.
     *
     * @param document the document in TOML
     * @return the tree, or all errors of the first stage that fails
     */
    static TreeParseResult parse(String document) {
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
     * @param tree the tree with inheritance resolved
     */
    record Valid(EffectiveTree tree) implements TreeParseResult {}

    /**
     * The document is not valid.
     *
     * @param errors all errors of the first stage that fails, not empty
     */
    record Invalid(List<TreeError> errors) implements TreeParseResult {

        /**
         * Creates a result from an unmodifiable copy of the errors.
         *
         * @param errors all errors of the first stage that fails, not empty
         */
        public Invalid {
            errors = List.copyOf(errors);
        }
    }
}
