package org.borageproxy.tree;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Resolves inheritance, and checks that names are unique, references between declarations valid, and bursts large
 * enough for the costs of routes. An instance resolves one tree and is not thread safe; the result is incomplete if
 * there are errors.
 */
final class TreeResolver {

    /** The branches that enclose the declaration being resolved, the innermost first. */
    private final Deque<Branch> enclosingBranches = new ArrayDeque<>();

    /** The errors found so far. */
    private final List<TreeError> errors = new ArrayList<>();

    /** The effective values resolved so far. */
    private final List<EffectiveValue> values = new ArrayList<>();

    /** The workspaces resolved so far. */
    private final List<Workspace> workspaces = new ArrayList<>();

    /** The models resolved so far. */
    private final List<Model> models = new ArrayList<>();

    /** The adapters resolved so far. */
    private final List<Adapter> adapters = new ArrayList<>();

    /** The routes resolved so far. */
    private final List<Route> routes = new ArrayList<>();

    /**
     * The locations of the first declarations of each name and path prefix, by namespace and name. Models and adapters
     * share a namespace.
     */
    private final Map<String, Declaration.Location> locationsByName = new HashMap<>();

    /**
     * Returns the errors found so far.
     *
     * @return the errors of each declaration in the order of resolution, followed by those between declarations
     */
    List<TreeError> errors() {
        return List.copyOf(errors);
    }

    /**
     * Resolves a tree.
     *
     * @param root the top-level branch
     * @return the effective tree, incomplete if there are errors
     */
    EffectiveTree resolve(Branch root) {
        resolveBranch(root);
        checkBaseModels();
        checkUsableModels();
        checkBursts();
        return new EffectiveTree(workspaces, models, adapters, routes, values);
    }

    /**
     * Resolves the declarations of a branch, followed by its nested branches.
     *
     * @param branch the branch
     */
    private void resolveBranch(Branch branch) {
        enclosingBranches.push(branch);
        branch.declarations().forEach(this::resolveDeclaration);
        branch.branches().forEach(this::resolveBranch);
        enclosingBranches.pop();
    }

    /**
     * Resolves the settings of a declaration and adds it to the tree unless it has errors.
     *
     * @param declaration the declaration
     */
    private void resolveDeclaration(Declaration declaration) {
        int errorsBefore = errors.size();
        Map<Setting, SettingValue> effective = new HashMap<>();
        for (Setting setting : Setting.values()) {
            if (setting.isUsedBy(declaration.kind())) {
                resolveSetting(declaration, setting, effective);
            }
        }
        checkUnique(declaration);
        if (errors.size() > errorsBefore) {
            return;
        }
        if (declaration instanceof Declaration.WorkspaceDeclaration workspace) {
            add(workspace, effective);
        } else if (declaration instanceof Declaration.ModelDeclaration model) {
            add(model, effective);
        } else if (declaration instanceof Declaration.AdapterDeclaration adapter) {
            add(adapter, effective);
        } else if (declaration instanceof Declaration.RouteDeclaration route) {
            add(route, effective);
        }
    }

    /**
     * Resolves a setting of a declaration.
     *
     * @param declaration the declaration
     * @param setting the setting
     * @param effective the map to which the effective value is added
     */
    private void resolveSetting(Declaration declaration, Setting setting, Map<Setting, SettingValue> effective) {
        SettingValue value = declaration.settings().get(setting);
        String origin = declaration.location().path();
        if (value == null) {
            for (Branch branch : enclosingBranches) {
                value = branch.settings().get(setting);
                if (value != null) {
                    origin = branch.path();
                    break;
                }
            }
        }
        if (value == null) {
            value = setting.defaultValue().orElse(null);
            origin = EffectiveValue.DEFAULT;
        }
        String path = declaration.location().path();
        if (value == null) {
            String message = "Missing: neither set here as " + setting.declarationKey()
                    + " nor in the settings of a branch above as " + setting.key();
            addError(declaration.location(), setting.declarationKey(), message);
        } else {
            effective.put(setting, value);
            values.add(new EffectiveValue(path, setting.declarationKey(), value.text(), origin));
        }
    }

    /**
     * Checks that the name of a declaration, and the path prefix of a route, are unique.
     *
     * @param declaration the declaration
     */
    private void checkUnique(Declaration declaration) {
        Declaration.Location location = declaration.location();
        boolean isAdapter = declaration.kind() == DeclarationKind.ADAPTER;
        DeclarationKind namespace = isAdapter ? DeclarationKind.MODEL : declaration.kind();
        Declaration.Location previous =
                locationsByName.putIfAbsent(namespace.tableKey() + " " + location.name(), location);
        if (previous != null) {
            errors.add(new TreeError(location.path(), location.line(), "Declared before: " + previous.path()));
        }
        if (declaration instanceof Declaration.RouteDeclaration route) {
            Declaration.Location samePrefix = locationsByName.putIfAbsent("prefix " + route.pathPrefix(), location);
            if (samePrefix != null) {
                addError(location, "path_prefix", "Used before: " + samePrefix.path());
            }
        }
    }

    /**
     * Adds a workspace to the tree.
     *
     * @param declared the declaration
     * @param effective its effective settings
     */
    private void add(Declaration.WorkspaceDeclaration declared, Map<Setting, SettingValue> effective) {
        Set<String> usable = ((SettingValue.NameSet) effective.get(Setting.USABLE_MODELS)).names();
        workspaces.add(new Workspace(
                declared.location().name(),
                integerOf(effective, Setting.RATE_TOKENS_PER_SECOND),
                integerOf(effective, Setting.BURST_TOKENS),
                (int) integerOf(effective, Setting.PRIORITY),
                usable));
    }

    /**
     * Adds a model to the tree.
     *
     * @param declared the declaration
     * @param effective its effective settings
     */
    private void add(Declaration.ModelDeclaration declared, Map<Setting, SettingValue> effective) {
        models.add(new Model(
                declared.location().name(),
                integerOf(effective, Setting.MEMORY_BYTES),
                (int) integerOf(effective, Setting.MAXIMUM_OUTPUT_TOKENS),
                integerOf(effective, Setting.TIMEOUT_MILLIS),
                declared.versions()));
        String path = declared.location().path();
        declared.versions()
                .forEach(version -> values.add(new EffectiveValue(
                        path, "versions." + version.name(), Integer.toString(version.weight()), path)));
    }

    /**
     * Adds an adapter to the tree.
     *
     * @param declared the declaration
     * @param effective its effective settings
     */
    private void add(Declaration.AdapterDeclaration declared, Map<Setting, SettingValue> effective) {
        String path = declared.location().path();
        adapters.add(new Adapter(
                declared.location().name(), declared.model(), integerOf(effective, Setting.ADAPTER_MEMORY_BYTES)));
        values.add(new EffectiveValue(path, "model", declared.model(), path));
    }

    /**
     * Adds a route to the tree.
     *
     * @param declared the declaration
     * @param effective its effective settings
     */
    private void add(Declaration.RouteDeclaration declared, Map<Setting, SettingValue> effective) {
        String path = declared.location().path();
        routes.add(new Route(
                declared.location().name(),
                declared.pathPrefix(),
                declared.service(),
                booleanOf(effective, Setting.OPEN),
                booleanOf(effective, Setting.REPEATABLE),
                integerOf(effective, Setting.TIMEOUT_MILLIS),
                integerOf(effective, Setting.TOKEN_COST)));
        values.add(new EffectiveValue(path, "path_prefix", declared.pathPrefix(), path));
        values.add(new EffectiveValue(path, "service", declared.service(), path));
    }

    /** Checks that the base model of each adapter is declared as a model. */
    private void checkBaseModels() {
        Set<String> declared = new HashSet<>();
        models.forEach(model -> declared.add(model.name()));
        for (Adapter adapter : adapters) {
            if (!declared.contains(adapter.model())) {
                Declaration.Location location =
                        locationsByName.get(DeclarationKind.MODEL.tableKey() + " " + adapter.name());
                addError(location, "model", "No such model: " + adapter.model());
            }
        }
    }

    /** Checks that the models and adapters that a workspace may use are declared. */
    private void checkUsableModels() {
        for (Workspace workspace : workspaces) {
            Declaration.Location location =
                    locationsByName.get(DeclarationKind.WORKSPACE.tableKey() + " " + workspace.name());
            workspace.usableModels().stream()
                    .sorted()
                    .filter(name -> !locationsByName.containsKey(DeclarationKind.MODEL.tableKey() + " " + name))
                    .forEach(name ->
                            addError(location, Setting.USABLE_MODELS.key(), "No such model or adapter: " + name));
        }
    }

    /**
     * Checks that the burst of each workspace covers the cost of one request to each route that requires an API key. A
     * smaller bucket could never admit such a request.
     */
    private void checkBursts() {
        for (Workspace workspace : workspaces) {
            Declaration.Location location =
                    locationsByName.get(DeclarationKind.WORKSPACE.tableKey() + " " + workspace.name());
            routes.stream()
                    .filter(route -> !route.isPublic() && route.tokenCost() > workspace.burstTokens())
                    .forEach(route -> addError(
                            location,
                            Setting.BURST_TOKENS.key(),
                            workspace.burstTokens() + " is below the token_cost " + route.tokenCost() + " of route "
                                    + route.name()));
        }
    }

    /**
     * Records an error of a declaration.
     *
     * @param location the location of the declaration
     * @param key the faulty key
     * @param message the description shown to operators
     */
    private void addError(Declaration.Location location, String key, String message) {
        errors.add(new TreeError(location.path() + "." + key, location.line(), message));
    }

    /**
     * Returns the effective value of an integer setting.
     *
     * @param effective the effective settings
     * @param setting the setting
     * @return the integer
     */
    private static long integerOf(Map<Setting, SettingValue> effective, Setting setting) {
        return ((SettingValue.IntegerValue) effective.get(setting)).number();
    }

    /**
     * Returns the effective value of a boolean setting.
     *
     * @param effective the effective settings
     * @param setting the setting
     * @return the boolean
     */
    private static boolean booleanOf(Map<Setting, SettingValue> effective, Setting setting) {
        return ((SettingValue.BooleanValue) effective.get(setting)).value();
    }
}
