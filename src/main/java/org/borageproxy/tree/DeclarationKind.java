package org.borageproxy.tree;

/** The kinds of declaration that a branch may contain. */
public enum DeclarationKind {
    /** A workspace. */
    WORKSPACE("workspaces"),
    /** A model. */
    MODEL("models"),
    /** An adapter. */
    ADAPTER("adapters"),
    /** A route to an HTTP service that is no model engine. */
    ROUTE("routes");

    /** The key, in a branch, of the table with the declarations of this kind. */
    private final String tableKey;

    /**
     * Creates a kind.
     *
     * @param key the key, in a branch, of the table with the declarations of this kind
     */
    DeclarationKind(String key) {
        this.tableKey = key;
    }

    /**
     * Returns the key, in a branch, of the table with the declarations of this kind.
     *
     * @return the key
     */
    public String tableKey() {
        return tableKey;
    }
}
