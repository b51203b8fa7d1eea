package org.borageproxy.tree;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Turns a TOML document into branches and collects every error of form. Used once, by one thread; without errors every
 * value of the parsed branches has the right type and range.
 */
final class TreeParser {

    /** The key of the settings of a branch. */
    private static final String SETTINGS = "settings";

    /** The key of the branches below a branch. */
    private static final String BRANCHES = "branches";

    /** The key of the versions of a model. */
    private static final String VERSIONS = "versions";

    /** The key of the base model of an adapter. */
    private static final String MODEL = "model";

    /** The key of the path prefix of a route. */
    private static final String PATH_PREFIX = "path_prefix";

    /** The key of the plain service of a route. */
    private static final String SERVICE = "service";

    /** The greatest weight of a version. */
    private static final int GREATEST_WEIGHT = 1_000_000;

    /** The largest number of branches above a branch. */
    private static final int GREATEST_DEPTH = 16;

    /** The names that branches and declarations may have. */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}");

    /** The errors found so far. */
    private final List<TreeError> errors = new ArrayList<>();

    /**
     * Returns the errors found.
     *
     * @return the errors in order of the document
     */
    List<TreeError> errors() {
        return List.copyOf(errors);
    }

    /**
     * Parses a document.
     *
     * @param document the document
     * @return the uppermost branch; of use only if there are no errors
     */
    Branch parse(String document) {
        TomlParseResult parsed = Toml.parse(document);
        parsed.errors()
                .forEach(error -> errors.add(new TreeError("", error.position().line(), error.getMessage())));
        if (!errors.isEmpty()) {
            return new Branch(Branch.ROOT, Map.of(), List.of(), List.of());
        }
        return branch(parsed, "", 0);
    }

    /**
     * Parses a branch.
     *
     * @param table the table of the branch
     * @param path the path of the branch, empty for the uppermost
     * @param depth the number of branches above
     * @return the branch
     */
    private Branch branch(TomlTable table, String path, int depth) {
        Map<Setting, SettingValue> settings = new EnumMap<>(Setting.class);
        List<Declaration> declarations = new ArrayList<>();
        List<Branch> branches = new ArrayList<>();
        if (depth > GREATEST_DEPTH) {
            errors.add(new TreeError(path, 0, "More than " + GREATEST_DEPTH + " branches above each other"));
            return new Branch(path, settings, declarations, branches);
        }
        for (String key : table.keySet()) {
            String keyPath = join(path, key);
            Optional<DeclarationKind> kind = kindOf(key);
            if (key.equals(SETTINGS)) {
                tableAt(table, key, keyPath).ifPresent(inner -> settings.putAll(branchSettings(inner, keyPath)));
            } else if (key.equals(BRANCHES)) {
                namedTables(table, key, keyPath)
                        .forEach(named ->
                                branches.add(branch(named.table(), named.place().path(), depth + 1)));
            } else if (kind.isPresent()) {
                namedTables(table, key, keyPath).forEach(named -> declarations.add(declaration(kind.get(), named)));
            } else {
                unknown(table, key, keyPath);
            }
        }
        return new Branch(path.isEmpty() ? Branch.ROOT : path, settings, declarations, branches);
    }

    /**
     * Parses the settings of a branch.
     *
     * @param table the table of settings
     * @param path the path of the table
     * @return the settings
     */
    private Map<Setting, SettingValue> branchSettings(TomlTable table, String path) {
        Map<Setting, SettingValue> settings = new EnumMap<>(Setting.class);
        for (String key : table.keySet()) {
            Optional<Setting> setting = Setting.ofKey(key);
            if (setting.isPresent()) {
                value(table, key, join(path, key), setting.get())
                        .ifPresent(value -> settings.put(setting.get(), value));
            } else {
                unknown(table, key, join(path, key));
            }
        }
        return settings;
    }

    /**
     * Parses a declaration.
     *
     * @param kind the kind of declaration
     * @param named the table and its name
     * @return the declaration
     */
    private Declaration declaration(DeclarationKind kind, NamedTable named) {
        Map<Setting, SettingValue> settings = new EnumMap<>(Setting.class);
        String path = named.place().path();
        TomlTable table = named.table();
        Set<String> own = ownKeys(kind);
        for (String key : table.keySet()) {
            Optional<Setting> setting = Setting.ofDeclaredKey(kind, key);
            if (setting.isPresent()) {
                value(table, key, join(path, key), setting.get())
                        .ifPresent(value -> settings.put(setting.get(), value));
            } else if (!own.contains(key)) {
                unknown(table, key, join(path, key));
            }
        }
        return switch (kind) {
            case WORKSPACE -> new Declaration.OfWorkspace(named.place(), settings);
            case MODEL -> new Declaration.OfModel(named.place(), settings, versions(named));
            case ADAPTER -> new Declaration.OfAdapter(named.place(), settings, text(named, MODEL));
            case ROUTE -> route(named, settings);
        };
    }

    /**
     * Parses what is particular to a route.
     *
     * @param named the table and its name
     * @param settings the settings written in the route
     * @return the route
     */
    private Declaration route(NamedTable named, Map<Setting, SettingValue> settings) {
        String prefix = text(named, PATH_PREFIX);
        if (!prefix.isEmpty() && !prefix.startsWith("/")) {
            error(named.table(), PATH_PREFIX, join(named.place().path(), PATH_PREFIX), "Must start with /");
        }
        return new Declaration.OfRoute(named.place(), settings, prefix, text(named, SERVICE));
    }

    /**
     * Parses the versions of a model with their weights.
     *
     * @param named the table of the model and its name
     * @return the versions
     */
    private List<ModelVersion> versions(NamedTable named) {
        String path = join(named.place().path(), VERSIONS);
        List<ModelVersion> versions = new ArrayList<>();
        if (!named.table().keySet().contains(VERSIONS)) {
            errors.add(new TreeError(path, named.place().line(), "Missing: a table of weights by version"));
            return versions;
        }
        Optional<TomlTable> table = tableAt(named.table(), VERSIONS, path);
        if (table.isEmpty()) {
            return versions;
        }
        for (String name : table.get().keySet()) {
            Object weight = table.get().get(List.of(name));
            if (!(weight instanceof Long number) || number < 0 || number > GREATEST_WEIGHT) {
                error(table.get(), name, join(path, name), "A weight from 0 to " + GREATEST_WEIGHT + " is needed");
            } else {
                versions.add(new ModelVersion(name, number.intValue()));
            }
        }
        if (versions.stream().mapToLong(ModelVersion::weight).sum() == 0) {
            error(named.table(), VERSIONS, path, "A version with a weight above 0 is needed");
        }
        return versions;
    }

    /**
     * Parses the value of a setting.
     *
     * @param table the table that holds it
     * @param key its key
     * @param path its path
     * @param setting the setting
     * @return the value, or empty after an error
     */
    private Optional<SettingValue> value(TomlTable table, String key, String path, Setting setting) {
        Object value = table.get(List.of(key));
        if (setting.isWhole()) {
            if (value instanceof Long number && setting.allows(number)) {
                return Optional.of(new SettingValue.Whole(number));
            }
            error(table, key, path, "A whole number " + setting.range() + " is needed");
        } else if (setting == Setting.USABLE_MODELS) {
            return names(table, key, path);
        } else if (value instanceof Boolean flag) {
            return Optional.of(new SettingValue.Flag(flag));
        } else {
            error(table, key, path, "true or false is needed");
        }
        return Optional.empty();
    }

    /**
     * Parses a list of names.
     *
     * @param table the table that holds it
     * @param key its key
     * @param path its path
     * @return the names, or empty after an error
     */
    private Optional<SettingValue> names(TomlTable table, String key, String path) {
        Set<String> names = new HashSet<>();
        if (table.get(List.of(key)) instanceof TomlArray array) {
            List<Object> elements = array.toList();
            elements.stream().filter(String.class::isInstance).forEach(name -> names.add((String) name));
            if (names.size() == elements.size()) {
                return Optional.of(new SettingValue.Names(names));
            }
        }
        error(table, key, path, "A list of different names is needed");
        return Optional.empty();
    }

    /**
     * Parses a text that a declaration must have.
     *
     * @param named the table and its name
     * @param key the key of the text
     * @return the text, empty after an error
     */
    private String text(NamedTable named, String key) {
        if (named.table().get(List.of(key)) instanceof String text && !text.isBlank()) {
            return text;
        }
        String path = join(named.place().path(), key);
        if (named.table().keySet().contains(key)) {
            error(named.table(), key, path, "A text is needed");
        } else {
            errors.add(new TreeError(path, named.place().line(), "Missing"));
        }
        return "";
    }

    /**
     * Returns the tables inside a table.
     *
     * @param table the table that holds the outer table
     * @param key the key of the outer table
     * @param path the path of the outer table
     * @return the inner tables with their names
     */
    private List<NamedTable> namedTables(TomlTable table, String key, String path) {
        List<NamedTable> named = new ArrayList<>();
        tableAt(table, key, path).ifPresent(outer -> {
            for (String name : outer.keySet()) {
                String innerPath = join(path, name);
                if (!NAME.matcher(name).matches()) {
                    error(outer, name, innerPath, "Not a name: letters, digits and . _ : / - only");
                }
                int line = lineOf(outer, name);
                tableAt(outer, name, innerPath)
                        .ifPresent(inner ->
                                named.add(new NamedTable(new Declaration.Place(name, innerPath, line), inner)));
            }
        });
        return named;
    }

    /**
     * Returns an inner table.
     *
     * @param table the table that holds it
     * @param key its key
     * @param path its path
     * @return the inner table, or empty after an error
     */
    private Optional<TomlTable> tableAt(TomlTable table, String key, String path) {
        if (table.get(List.of(key)) instanceof TomlTable inner) {
            return Optional.of(inner);
        }
        error(table, key, path, "A table is needed");
        return Optional.empty();
    }

    /**
     * Returns the keys that are particular to a kind of declaration.
     *
     * @param kind the kind
     * @return the keys
     */
    private static Set<String> ownKeys(DeclarationKind kind) {
        return switch (kind) {
            case WORKSPACE -> Set.of();
            case MODEL -> Set.of(VERSIONS);
            case ADAPTER -> Set.of(MODEL);
            case ROUTE -> Set.of(PATH_PREFIX, SERVICE);
        };
    }

    /**
     * Returns the kind of declaration that a key of a branch holds.
     *
     * @param key the key
     * @return the kind
     */
    private static Optional<DeclarationKind> kindOf(String key) {
        for (DeclarationKind kind : DeclarationKind.values()) {
            if (kind.key().equals(key)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /**
     * Records an unknown key.
     *
     * @param table the table that holds it
     * @param key the key
     * @param path its path
     */
    private void unknown(TomlTable table, String key, String path) {
        error(table, key, path, "Unknown key");
    }

    /**
     * Records an error.
     *
     * @param table the table that holds the faulty value
     * @param key the key of the value
     * @param path its path
     * @param message what is wrong
     */
    private void error(TomlTable table, String key, String path, String message) {
        errors.add(new TreeError(path, lineOf(table, key), message));
    }

    /**
     * Returns the line of a key.
     *
     * @param table the table that holds it
     * @param key the key
     * @return the line, or 0 if unknown
     */
    private static int lineOf(TomlTable table, String key) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? 0 : position.line();
    }

    /**
     * Joins the parts of a path.
     *
     * @param path the path of the outer table, empty for the document
     * @param key the key
     * @return the path of the key
     */
    private static String join(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /**
     * A table with its name.
     *
     * @param place the place
     * @param table the table
     */
    private record NamedTable(Declaration.Place place, TomlTable table) {}
}
