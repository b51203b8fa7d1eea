package org.borageproxy.entry;

/** Estimates the number of tokens of a text before an engine counts them. Pure and thread safe. */
final class TokenEstimate {

    private static final int CHARACTERS_PER_TOKEN = 4;

    private static final char LAST_ASCII = 127;

    private TokenEstimate() {}

    /**
     * Estimates the number of tokens: one for every started group of four ASCII characters of a word and one for each
     * character outside ASCII, but at least one for every started group of four characters of the text.
     *
     * @param text the text
     * @return the number of tokens, at least 1
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
        long characterGroups = (text.length() + CHARACTERS_PER_TOKEN - 1L) / CHARACTERS_PER_TOKEN;
        return Math.max(1, Math.max(tokens, characterGroups));
    }
}
