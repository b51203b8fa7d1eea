package org.borageproxy.tree;

/** What a branch may declare besides its settings. */
public enum DeclarationKind {
    /** A workspace. */
    WORKSPACE("workspaces"),
    /** A model. */
    MODEL("models"),
    /** An adapter. */
    ADAPTER("adapters"),
    /** A route to a plain service. */
    ROUTE("routes");

    /** The key of the table that holds the declarations of this kind. */
    private final String key;

    /**
     * Creates a kind.
     *
     * @param key the key of the table in a branch
     */
    DeclarationKind(String key) {
        this.key = key;
    }

    /**
     * Returns the key of the table in a branch.
     *
     * @return the key
     */
    public String key() {
        return key;
    }
}
