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
 * Parses a TOML document into branches and collects all errors of syntax, key, type and range. If there are none, every
 * value of the parsed branches has a valid type and range. An instance parses one document and is not thread safe.
 */
final class TreeParser {

    /** The key of the table of settings in a branch. */
    private static final String SETTINGS = "settings";

    /** The key of the table of nested branches in a branch. */
    private static final String BRANCHES = "branches";

    /** The key of the versions of a model. */
    private static final String VERSIONS = "versions";

    /** The key of the base model of an adapter. */
    private static final String MODEL = "model";

    /** The key of the path prefix of a route. */
    private static final String PATH_PREFIX = "path_prefix";

    /** The key of the service of a route. */
    private static final String SERVICE = "service";

    /** The largest weight of a version. */
    private static final int MAX_VERSION_WEIGHT = 1_000_000;

    /** The largest number of branches that enclose a branch. */
    private static final int MAX_BRANCH_DEPTH = 16;

    /** Matches the valid names of branches and declarations. */
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}");

    /** The errors found so far. */
    private final List<TreeError> errors = new ArrayList<>();

    /**
     * Returns the errors found so far.
     *
     * @return the errors in the order of parsing
     */
    List<TreeError> errors() {
        return List.copyOf(errors);
    }

    /**
     * Parses a document.
     *
     * @param document the document
     * @return the top-level branch, incomplete if there are errors
     */
    Branch parse(String document) {
        TomlParseResult parsed = Toml.parse(document);
        parsed.errors()
                .forEach(error -> errors.add(new TreeError("", error.position().line(), error.getMessage())));
        if (!errors.isEmpty()) {
            return new Branch(Branch.ROOT, Map.of(), List.of(), List.of());
        }
        return parseBranch(parsed, "", 0);
    }

    /**
     * Parses a branch.
     *
     * @param table the table of the branch
     * @param path the path of the branch, empty for the top-level branch
     * @param depth the number of enclosing branches
     * @return the branch
     */
    private Branch parseBranch(TomlTable table, String path, int depth) {
        Map<Setting, SettingValue> settings = new EnumMap<>(Setting.class);
        List<Declaration> declarations = new ArrayList<>();
        List<Branch> branches = new ArrayList<>();
        if (depth > MAX_BRANCH_DEPTH) {
            errors.add(new TreeError(path, 0, "More than " + MAX_BRANCH_DEPTH + " branches above each other"));
            return new Branch(path, settings, declarations, branches);
        }
        for (String key : table.keySet()) {
            String keyPath = join(path, key);
            Optional<DeclarationKind> kind = kindOf(key);
            if (key.equals(SETTINGS)) {
                findTable(table, key, keyPath).ifPresent(inner -> settings.putAll(parseBranchSettings(inner, keyPath)));
            } else if (key.equals(BRANCHES)) {
                findNamedTables(table, key, keyPath)
                        .forEach(named -> branches.add(
                                parseBranch(named.table(), named.location().path(), depth + 1)));
            } else if (kind.isPresent()) {
                findNamedTables(table, key, keyPath)
                        .forEach(named -> declarations.add(parseDeclaration(kind.get(), named)));
            } else {
                addUnknownKeyError(table, key, keyPath);
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
    private Map<Setting, SettingValue> parseBranchSettings(TomlTable table, String path) {
        Map<Setting, SettingValue> settings = new EnumMap<>(Setting.class);
        for (String key : table.keySet()) {
            Optional<Setting> setting = Setting.findByKey(key);
            if (setting.isPresent()) {
                parseValue(table, key, join(path, key), setting.get())
                        .ifPresent(value -> settings.put(setting.get(), value));
            } else {
                addUnknownKeyError(table, key, join(path, key));
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
    private Declaration parseDeclaration(DeclarationKind kind, NamedTable named) {
        Map<Setting, SettingValue> settings = new EnumMap<>(Setting.class);
        String path = named.location().path();
        TomlTable table = named.table();
        Set<String> additional = additionalKeys(kind);
        for (String key : table.keySet()) {
            Optional<Setting> setting = Setting.findByDeclarationKey(kind, key);
            if (setting.isPresent()) {
                parseValue(table, key, join(path, key), setting.get())
                        .ifPresent(value -> settings.put(setting.get(), value));
            } else if (!additional.contains(key)) {
                addUnknownKeyError(table, key, join(path, key));
            }
        }
        return switch (kind) {
            case WORKSPACE -> new Declaration.WorkspaceDeclaration(named.location(), settings);
            case MODEL -> new Declaration.ModelDeclaration(named.location(), settings, parseVersions(named));
            case ADAPTER -> new Declaration.AdapterDeclaration(named.location(), settings, requireText(named, MODEL));
            case ROUTE -> parseRoute(named, settings);
        };
    }

    /**
     * Parses a route.
     *
     * @param named the table and its name
     * @param settings the settings written in the route
     * @return the route
     */
    private Declaration parseRoute(NamedTable named, Map<Setting, SettingValue> settings) {
        String prefix = requireText(named, PATH_PREFIX);
        if (!prefix.isEmpty() && !prefix.startsWith("/")) {
            addError(named.table(), PATH_PREFIX, join(named.location().path(), PATH_PREFIX), "Must start with /");
        }
        return new Declaration.RouteDeclaration(named.location(), settings, prefix, requireText(named, SERVICE));
    }

    /**
     * Parses the versions of a model with their weights.
     *
     * @param named the table of the model and its name
     * @return the versions without the faulty ones
     */
    private List<ModelVersion> parseVersions(NamedTable named) {
        String path = join(named.location().path(), VERSIONS);
        List<ModelVersion> versions = new ArrayList<>();
        if (!named.table().keySet().contains(VERSIONS)) {
            errors.add(new TreeError(path, named.location().line(), "Missing: a table of weights by version"));
            return versions;
        }
        Optional<TomlTable> table = findTable(named.table(), VERSIONS, path);
        if (table.isEmpty()) {
            return versions;
        }
        for (String name : table.get().keySet()) {
            Object weight = table.get().get(List.of(name));
            if (!(weight instanceof Long number) || number < 0 || number > MAX_VERSION_WEIGHT) {
                addError(
                        table.get(), name, join(path, name), "A weight from 0 to " + MAX_VERSION_WEIGHT + " is needed");
            } else {
                versions.add(new ModelVersion(name, number.intValue()));
            }
        }
        if (versions.stream().mapToLong(ModelVersion::weight).sum() == 0) {
            addError(named.table(), VERSIONS, path, "A version with a weight above 0 is needed");
        }
        return versions;
    }

    /**
     * Parses the value of a setting.
     *
     * @param table the table that contains it
     * @param key its key
     * @param path its path
     * @param setting the setting
     * @return the value, or empty after an error
     */
    private Optional<SettingValue> parseValue(TomlTable table, String key, String path, Setting setting) {
        Object value = table.get(List.of(key));
        if (setting.isInteger()) {
            if (value instanceof Long number && setting.isInRange(number)) {
                return Optional.of(new SettingValue.IntegerValue(number));
            }
            addError(table, key, path, "A whole number " + setting.describeRange() + " is needed");
        } else if (setting == Setting.USABLE_MODELS) {
            return parseNames(table, key, path);
        } else if (value instanceof Boolean flag) {
            return Optional.of(new SettingValue.BooleanValue(flag));
        } else {
            addError(table, key, path, "true or false is needed");
        }
        return Optional.empty();
    }

    /**
     * Parses a list of names.
     *
     * @param table the table that contains it
     * @param key its key
     * @param path its path
     * @return the names, or empty after an error
     */
    private Optional<SettingValue> parseNames(TomlTable table, String key, String path) {
        Set<String> names = new HashSet<>();
        if (table.get(List.of(key)) instanceof TomlArray array) {
            List<Object> elements = array.toList();
            elements.stream().filter(String.class::isInstance).forEach(name -> names.add((String) name));
            if (names.size() == elements.size()) {
                return Optional.of(new SettingValue.NameSet(names));
            }
        }
        addError(table, key, path, "A list of different names is needed");
        return Optional.empty();
    }

    /**
     * Parses a mandatory string of a declaration.
     *
     * @param named the table and its name
     * @param key the key of the string
     * @return the string, or an empty one after an error
     */
    private String requireText(NamedTable named, String key) {
        if (named.table().get(List.of(key)) instanceof String text && !text.isBlank()) {
            return text;
        }
        String path = join(named.location().path(), key);
        if (named.table().keySet().contains(key)) {
            addError(named.table(), key, path, "A text is needed");
        } else {
            errors.add(new TreeError(path, named.location().line(), "Missing"));
        }
        return "";
    }

    /**
     * Returns the inner tables of a table, such as the branches or the models of a branch.
     *
     * @param table the table that contains the outer table
     * @param key the key of the outer table
     * @param path the path of the outer table
     * @return the inner tables with their names
     */
    private List<NamedTable> findNamedTables(TomlTable table, String key, String path) {
        List<NamedTable> named = new ArrayList<>();
        findTable(table, key, path).ifPresent(outer -> {
            for (String name : outer.keySet()) {
                String innerPath = join(path, name);
                if (!NAME_PATTERN.matcher(name).matches()) {
                    addError(outer, name, innerPath, "Not a name: letters, digits and . _ : / - only");
                }
                int line = lineOf(outer, name);
                findTable(outer, name, innerPath)
                        .ifPresent(inner ->
                                named.add(new NamedTable(new Declaration.Location(name, innerPath, line), inner)));
            }
        });
        return named;
    }

    /**
     * Returns an inner table, or records an error if the value is none.
     *
     * @param table the table that contains it
     * @param key its key
     * @param path its path
     * @return the inner table, or empty after an error
     */
    private Optional<TomlTable> findTable(TomlTable table, String key, String path) {
        if (table.get(List.of(key)) instanceof TomlTable inner) {
            return Optional.of(inner);
        }
        addError(table, key, path, "A table is needed");
        return Optional.empty();
    }

    /**
     * Returns the keys of a kind of declaration that are no settings and thus not inherited.
     *
     * @param kind the kind
     * @return the keys
     */
    private static Set<String> additionalKeys(DeclarationKind kind) {
        return switch (kind) {
            case WORKSPACE -> Set.of();
            case MODEL -> Set.of(VERSIONS);
            case ADAPTER -> Set.of(MODEL);
            case ROUTE -> Set.of(PATH_PREFIX, SERVICE);
        };
    }

    /**
     * Returns the kind of declaration that a table of a branch contains.
     *
     * @param key the key of the table in the branch
     * @return the kind, or empty if the key is none of declarations
     */
    private static Optional<DeclarationKind> kindOf(String key) {
        for (DeclarationKind kind : DeclarationKind.values()) {
            if (kind.tableKey().equals(key)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /**
     * Records an unknown key.
     *
     * @param table the table that contains it
     * @param key the key
     * @param path its path
     */
    private void addUnknownKeyError(TomlTable table, String key, String path) {
        addError(table, key, path, "Unknown key");
    }

    /**
     * Records an error.
     *
     * @param table the table that contains the faulty value
     * @param key the key of the value
     * @param path its path
     * @param message the description shown to operators
     */
    private void addError(TomlTable table, String key, String path, String message) {
        errors.add(new TreeError(path, lineOf(table, key), message));
    }

    /**
     * Returns the line of a key in the document.
     *
     * @param table the table that contains it
     * @param key the key
     * @return the line, counted from one, or zero if unknown
     */
    private static int lineOf(TomlTable table, String key) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? 0 : position.line();
    }

    /**
     * Appends a key to a path.
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
     * @param location the name and position of the table
     * @param table the table
     */
    private record NamedTable(Declaration.Location location, TomlTable table) {}
}
