package org.borageproxy.entry;

/** Estimates the tokens of a text before an engine counts them. Pure and thread safe. */
final class TokenEstimate {

    /** The characters of a word that make one token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** The last ASCII character. */
    private static final char LAST_ASCII = 127;

    /** Not instantiable. */
    private TokenEstimate() {}

    /**
     * Estimates the tokens of a text: each word counts one token for every started group of characters, each character
     * outside ASCII counts one, and the whole counts at least one for every group.
     *
     * @param text the text
     * @return the tokens, at least one
     */
    static long of(String text) {
        long tokens = 0;
        int wordLength = 0;
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if (Character.isWhitespace(character)) {
                wordLength = 0;
            } else if (character > LAST_ASCII) {
                tokens++;
            } else {
                tokens += wordLength % CHARACTERS_PER_TOKEN == 0 ? 1 : 0;
                wordLength++;
            }
        }
        long groups = (text.length() + CHARACTERS_PER_TOKEN - 1L) / CHARACTERS_PER_TOKEN;
        return Math.max(1, Math.max(tokens, groups));
    }
}
