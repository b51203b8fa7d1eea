package org.borageproxy.settings;

/**
 * An error in a settings file. Immutable and thread safe.
 *
 * @param file the file's name
 * @param line the line, counted from one; zero if unknown or if the error concerns the whole file
 * @param key the dotted key of the faulty value, a placeholder for errors of syntax or of the whole file
 * @param message the description of the error, or of a valid value
 */
public record SettingsError(String file, int line, String key, String message) {

    /**
     * Renders the error as one line of text.
     *
     * @return the line, without a line terminator
     */
    public String render() {
        return file + ":" + line + ": " + key + ": " + message;
    }
}
