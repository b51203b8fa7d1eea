package org.borageproxy.settings;

/**
 * One fault of a settings file. Immutable and thread safe.
 *
 * @param file the file's name
 * @param line the line, counted from one; zero if the fault belongs to the whole file
 * @param key the dotted key
 * @param expected what was expected there
 */
public record SettingsError(String file, int line, String key, String expected) {

    /**
     * Renders the fault as one line.
     *
     * @return the line, without a line end
     */
    public String toLine() {
        return file + ":" + line + ": " + key + ": " + expected;
    }
}
