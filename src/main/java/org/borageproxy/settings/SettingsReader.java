package org.borageproxy.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads the values of one table and collects every fault instead of stopping at the first. Not thread safe; used by one
 * thread while a file is read.
 */
final class SettingsReader {

    /** The file's name. */
    private final String file;
    /** The table that is read. */
    private final TomlTable table;
    /** The dotted key of the table, empty for the root. */
    private final String path;
    /** The faults found so far, shared by the readers of one file. */
    private final List<SettingsError> errors;

    /**
     * Creates a reader.
     *
     * @param file the file's name
     * @param table the table to read
     * @param path the dotted key of the table, empty for the root
     * @param errors takes the faults
     */
    SettingsReader(String file, TomlTable table, String path, List<SettingsError> errors) {
        this.file = file;
        this.table = table;
        this.path = path;
        this.errors = errors;
    }

    /**
     * Refuses keys that the table does not know.
     *
     * @param known the known keys
     */
    void allowOnly(Set<String> known) {
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                fault(
                        key,
                        "unknown key; known are "
                                + String.join(", ", known.stream().sorted().toList()));
            }
        }
    }

    /**
     * Tells whether a key is present.
     *
     * @param key the key
     * @return {@code true} if it has a value
     */
    boolean has(String key) {
        return table.contains(List.of(key));
    }

    /**
     * Reads text that must be there.
     *
     * @param key the key
     * @return the text, or {@code "missing"} after a fault
     */
    String text(String key) {
        Object value = table.get(List.of(key));
        if (value instanceof String text && !text.isBlank()) {
            return text;
        }
        fault(key, "expected a text that is not empty");
        return "missing";
    }

    /**
     * Reads a whole number in a range.
     *
     * @param key the key
     * @param least the smallest number allowed
     * @param most the largest number allowed
     * @return the number, or the smallest one after a fault
     */
    long number(String key, long least, long most) {
        Object value = table.get(List.of(key));
        if (value instanceof Long number && number >= least && number <= most) {
            return number;
        }
        fault(key, "expected a whole number from " + least + " to " + most);
        return least;
    }

    /**
     * Reads a whole number in a range that may be absent.
     *
     * @param key the key
     * @param least the smallest number allowed
     * @param most the largest number allowed
     * @param absent the number that holds if the key is absent
     * @return the number
     */
    long numberOr(String key, long least, long most, long absent) {
        return has(key) ? number(key, least, most) : absent;
    }

    /**
     * Reads a table that must be there.
     *
     * @param key the key
     * @return a reader of the table, empty after a fault
     */
    SettingsReader child(String key) {
        Object value = table.get(List.of(key));
        if (value instanceof TomlTable child) {
            return new SettingsReader(file, child, dotted(key), errors);
        }
        fault(key, "expected a table");
        return new SettingsReader(file, org.tomlj.Toml.parse(""), dotted(key), new ArrayList<>());
    }

    /**
     * Reads an array of tables that must hold at least one.
     *
     * @param key the key
     * @return the readers of the tables
     */
    List<SettingsReader> children(String key) {
        Object value = table.get(List.of(key));
        if (!(value instanceof TomlArray array) || !holdsTables(array)) {
            fault(key, "expected at least one table [[" + dotted(key) + "]]");
            return List.of();
        }
        List<SettingsReader> readers = new ArrayList<>();
        for (int index = 0; index < array.size(); index++) {
            readers.add(new SettingsReader(file, array.getTable(index), dotted(key) + "[" + index + "]", errors));
        }
        return readers;
    }

    /**
     * Tells whether an array holds at least one element and only tables.
     *
     * @param array the array
     * @return {@code true} if each element is a table
     */
    private static boolean holdsTables(TomlArray array) {
        return !array.isEmpty() && array.toList().stream().allMatch(TomlTable.class::isInstance);
    }

    /**
     * Adds a fault.
     *
     * @param key the key
     * @param expected what was expected
     */
    void fault(String key, String expected) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        errors.add(new SettingsError(file, position == null ? 0 : position.line(), dotted(key), expected));
    }

    /**
     * Ends the reading.
     *
     * @throws SettingsException if there was a fault
     */
    void finish() throws SettingsException {
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
    private String dotted(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
