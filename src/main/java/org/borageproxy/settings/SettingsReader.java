package org.borageproxy.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads the values of one TOML table. Errors are collected in a list that the readers of one file share, so that all of
 * them can be reported; after an error a reading method returns a placeholder. Not thread safe.
 */
final class SettingsReader {

    /** The file's name. */
    private final String file;
    /** The table. */
    private final TomlTable table;
    /** The dotted key of the table, empty for the root. */
    private final String path;
    /** The errors found so far, shared by the readers of one file. */
    private final List<SettingsError> errors;

    /**
     * Creates a reader.
     *
     * @param file the file's name
     * @param table the table to read
     * @param path the dotted key of the table, empty for the root
     * @param errors the list to which errors are added
     */
    SettingsReader(String file, TomlTable table, String path, List<SettingsError> errors) {
        this.file = file;
        this.table = table;
        this.path = path;
        this.errors = errors;
    }

    /**
     * Adds an error for each unknown key of the table.
     *
     * @param known the known keys
     */
    void rejectUnknownKeys(Set<String> known) {
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                addError(
                        key,
                        "unknown key; known keys are "
                                + String.join(", ", known.stream().sorted().toList()));
            }
        }
    }

    /**
     * Returns whether a key is present.
     *
     * @param key the key
     * @return {@code true} if the table contains a value for it, even an invalid one
     */
    boolean hasKey(String key) {
        return table.contains(List.of(key));
    }

    /**
     * Reads a mandatory string, which must not be blank.
     *
     * @param key the key
     * @return the string, or {@code "missing"} after an error
     */
    String requireText(String key) {
        Object value = table.get(List.of(key));
        if (value instanceof String text && !text.isBlank()) {
            return text;
        }
        addError(key, "expected a non-empty string");
        return "missing";
    }

    /**
     * Reads a mandatory integer in a range.
     *
     * @param key the key
     * @param minimum the smallest valid number
     * @param maximum the largest valid number
     * @return the number, or the smallest valid number after an error
     */
    long requireNumber(String key, long minimum, long maximum) {
        Object value = table.get(List.of(key));
        if (value instanceof Long number && number >= minimum && number <= maximum) {
            return number;
        }
        addError(key, "expected an integer from " + minimum + " to " + maximum);
        return minimum;
    }

    /**
     * Reads an optional integer in a range.
     *
     * @param key the key
     * @param minimum the smallest valid number
     * @param maximum the largest valid number
     * @param defaultNumber the number to return if the key is absent
     * @return the number, the default, or the smallest valid number after an error
     */
    long numberOrDefault(String key, long minimum, long maximum, long defaultNumber) {
        return hasKey(key) ? requireNumber(key, minimum, maximum) : defaultNumber;
    }

    /**
     * Reads a mandatory table.
     *
     * @param key the key
     * @return a reader of the table; after an error a reader of an empty table whose further errors are discarded
     */
    SettingsReader requireTable(String key) {
        Object value = table.get(List.of(key));
        if (value instanceof TomlTable child) {
            return new SettingsReader(file, child, dottedKey(key), errors);
        }
        addError(key, "expected a table");
        return new SettingsReader(file, org.tomlj.Toml.parse(""), dottedKey(key), new ArrayList<>());
    }

    /**
     * Reads a mandatory array of at least one table.
     *
     * @param key the key
     * @return a reader for each table; empty after an error
     */
    List<SettingsReader> requireTables(String key) {
        Object value = table.get(List.of(key));
        if (!(value instanceof TomlArray array) || !isNonEmptyTableArray(array)) {
            addError(key, "expected at least one table [[" + dottedKey(key) + "]]");
            return List.of();
        }
        List<SettingsReader> readers = new ArrayList<>();
        for (int index = 0; index < array.size(); index++) {
            readers.add(new SettingsReader(file, array.getTable(index), dottedKey(key) + "[" + index + "]", errors));
        }
        return readers;
    }

    /**
     * Returns whether an array is not empty and contains only tables.
     *
     * @param array the array
     * @return {@code true} if it does
     */
    private static boolean isNonEmptyTableArray(TomlArray array) {
        return !array.isEmpty() && array.toList().stream().allMatch(TomlTable.class::isInstance);
    }

    /**
     * Adds an error.
     *
     * @param key the key of the faulty or missing value
     * @param message the description of the error, or of a valid value
     */
    void addError(String key, String message) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        errors.add(new SettingsError(file, position == null ? 0 : position.line(), dottedKey(key), message));
    }

    /**
     * Reports the errors found so far by all readers of the file.
     *
     * @throws SettingsException if there are errors
     */
    void throwIfInvalid() throws SettingsException {
        if (!errors.isEmpty()) {
            throw new SettingsException(errors.stream()
                    .sorted(Comparator.comparingInt(SettingsError::line))
                    .toList());
        }
    }

    /**
     * Returns the dotted key of a value in this table.
     *
     * @param key the key
     * @return the dotted key
     */
    private String dottedKey(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
