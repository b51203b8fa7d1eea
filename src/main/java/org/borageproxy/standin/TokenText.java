package org.borageproxy.standin;

/**
 * The text that a simulated engine generates. Each token depends only on the prompt and its index, so that a resumed
 * answer can be compared with an uninterrupted one. Stateless and thread safe.
 */
public final class TokenText {

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

    /** Multiplier of Fibonacci hashing, which spreads adjacent indexes over the words. */
    private static final int INDEX_FACTOR = 0x9E3779B1;

    private static final int CHARACTERS_PER_TOKEN = 4;
    /** The low bits of a multiplicative hash are the least mixed ones. */
    private static final int DISCARDED_HASH_BITS = 16;

    private TokenText() {}

    /**
     * Returns one token of the answer to a prompt.
     *
     * @param prompt the prompt
     * @param index the token's index from zero
     * @return the token's text, which ends with a space
     */
    public static String tokenAt(String prompt, int index) {
        int hash = (prompt.hashCode() + index) * INDEX_FACTOR;
        return WORDS[(hash >>> DISCARDED_HASH_BITS) % WORDS.length];
    }

    /**
     * Returns the start of the answer to a prompt.
     *
     * @param prompt the prompt
     * @param tokens the number of tokens
     * @return the concatenated text of the first tokens
     */
    public static String firstTokens(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < tokens; index++) {
            text.append(tokenAt(prompt, index));
        }
        return text.toString();
    }

    /**
     * Returns the number of tokens in a prompt, at four characters per token.
     *
     * @param prompt the prompt
     * @return the number of tokens, rounded up and at least one
     */
    public static int tokenCount(String prompt) {
        return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }
}
