package org.borageproxy.standin;

/**
 * The text that a stand-in engine generates: each token follows from the prompt and its index alone, so that a resumed
 * answer can be checked against a whole one. Stateless and thread safe.
 */
public final class TokenText {

    /** The words that tokens are made of. */
    private static final String[] WORDS = {
        "flood ",
        "grain ",
        "truck ",
        "camp ",
        "quilt ",
        "fabric ",
        "route ",
        "store ",
        "village ",
        "pattern ",
        "yard ",
        "order ",
        "bundle ",
        "river ",
        "depot ",
        "guild "
    };

    /** A prime that spreads neighbouring indexes over the words. */
    private static final int INDEX_FACTOR = 0x9E3779B1;
    /** The number of characters of a prompt that make a token. */
    private static final int CHARACTERS_PER_TOKEN = 4;
    /** The bits of the hash that are dropped before a word is chosen. */
    private static final int DROPPED_BITS = 16;

    /** Not instantiated. */
    private TokenText() {}

    /**
     * Returns a token of the answer to a prompt.
     *
     * @param prompt the prompt
     * @param index the token's index from zero
     * @return the token's text
     */
    public static String at(String prompt, int index) {
        int hash = (prompt.hashCode() + index) * INDEX_FACTOR;
        return WORDS[(hash >>> DROPPED_BITS) % WORDS.length];
    }

    /**
     * Returns the start of the answer to a prompt.
     *
     * @param prompt the prompt
     * @param tokens the number of tokens
     * @return the text of the first tokens
     */
    public static String first(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < tokens; index++) {
            text.append(at(prompt, index));
        }
        return text.toString();
    }

    /**
     * Returns the number of tokens in a prompt.
     *
     * @param prompt the prompt
     * @return the number of tokens, at least one
     */
    public static int count(String prompt) {
        return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }
}
