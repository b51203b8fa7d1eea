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
 * Resolves inheritance and checks what declarations say of each other. Used once, by one thread; the tree is of use
 * only if there are no errors.
 */
final class TreeResolver {

    /** The branches above the declaration being resolved, the nearest first. */
    private final Deque<Branch> above = new ArrayDeque<>();

    /** The errors found so far. */
    private final List<TreeError> errors = new ArrayList<>();

    /** The effective values found so far. */
    private final List<EffectiveValue> values = new ArrayList<>();

    /** The workspaces found so far. */
    private final List<Workspace> workspaces = new ArrayList<>();

    /** The models found so far. */
    private final List<Model> models = new ArrayList<>();

    /** The adapters found so far. */
    private final List<Adapter> adapters = new ArrayList<>();

    /** The routes found so far. */
    private final List<Route> routes = new ArrayList<>();

    /** The places of the declarations by a name that must be unique. */
    private final Map<String, Declaration.Place> places = new HashMap<>();

    /**
     * Returns the errors found.
     *
     * @return the errors
     */
    List<TreeError> errors() {
        return List.copyOf(errors);
    }

    /**
     * Resolves a tree.
     *
     * @param root the uppermost branch
     * @return the effective tree; of use only if there are no errors
     */
    EffectiveTree resolve(Branch root) {
        visit(root);
        checkBaseModels();
        checkUsableModels();
        checkBursts();
        return new EffectiveTree(workspaces, models, adapters, routes, values);
    }

    /**
     * Resolves a branch and the branches below it.
     *
     * @param branch the branch
     */
    private void visit(Branch branch) {
        above.push(branch);
        branch.declarations().forEach(this::declare);
        branch.branches().forEach(this::visit);
        above.pop();
    }

    /**
     * Resolves a declaration.
     *
     * @param declaration the declaration
     */
    private void declare(Declaration declaration) {
        int errorsBefore = errors.size();
        Map<Setting, SettingValue> effective = new HashMap<>();
        for (Setting setting : Setting.values()) {
            if (setting.isUsedBy(declaration.kind())) {
                resolveSetting(declaration, setting, effective);
            }
        }
        unique(declaration);
        if (errors.size() > errorsBefore) {
            return;
        }
        if (declaration instanceof Declaration.OfWorkspace workspace) {
            add(workspace, effective);
        } else if (declaration instanceof Declaration.OfModel model) {
            add(model, effective);
        } else if (declaration instanceof Declaration.OfAdapter adapter) {
            add(adapter, effective);
        } else if (declaration instanceof Declaration.OfRoute route) {
            add(route, effective);
        }
    }

    /**
     * Resolves a setting of a declaration.
     *
     * @param declaration the declaration
     * @param setting the setting
     * @param effective gets the effective value
     */
    private void resolveSetting(Declaration declaration, Setting setting, Map<Setting, SettingValue> effective) {
        SettingValue value = declaration.settings().get(setting);
        String origin = declaration.place().path();
        if (value == null) {
            for (Branch branch : above) {
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
        String path = declaration.place().path();
        if (value == null) {
            String message = "Missing: neither set here as " + setting.declaredKey()
                    + " nor in the settings of a branch above as " + setting.key();
            error(declaration.place(), setting.declaredKey(), message);
        } else {
            effective.put(setting, value);
            values.add(new EffectiveValue(path, setting.declaredKey(), value.text(), origin));
        }
    }

    /**
     * Checks that a name is declared once.
     *
     * @param declaration the declaration
     */
    private void unique(Declaration declaration) {
        Declaration.Place place = declaration.place();
        boolean shared = declaration.kind() == DeclarationKind.ADAPTER;
        DeclarationKind space = shared ? DeclarationKind.MODEL : declaration.kind();
        Declaration.Place other = places.putIfAbsent(space.key() + " " + place.name(), place);
        if (other != null) {
            errors.add(new TreeError(place.path(), place.line(), "Declared before: " + other.path()));
        }
        if (declaration instanceof Declaration.OfRoute route) {
            Declaration.Place prefix = places.putIfAbsent("prefix " + route.pathPrefix(), place);
            if (prefix != null) {
                error(place, "path_prefix", "Used before: " + prefix.path());
            }
        }
    }

    /**
     * Adds a workspace.
     *
     * @param declared the declaration
     * @param effective its effective settings
     */
    private void add(Declaration.OfWorkspace declared, Map<Setting, SettingValue> effective) {
        Set<String> usable = ((SettingValue.Names) effective.get(Setting.USABLE_MODELS)).names();
        workspaces.add(new Workspace(
                declared.place().name(),
                whole(effective, Setting.RATE_TOKENS_PER_SECOND),
                whole(effective, Setting.BURST_TOKENS),
                (int) whole(effective, Setting.PRIORITY),
                usable));
    }

    /**
     * Adds a model.
     *
     * @param declared the declaration
     * @param effective its effective settings
     */
    private void add(Declaration.OfModel declared, Map<Setting, SettingValue> effective) {
        models.add(new Model(
                declared.place().name(),
                whole(effective, Setting.MEMORY_BYTES),
                (int) whole(effective, Setting.MAXIMUM_OUTPUT_TOKENS),
                whole(effective, Setting.TIMEOUT_MILLIS),
                declared.versions()));
        String path = declared.place().path();
        declared.versions()
                .forEach(version -> values.add(new EffectiveValue(
                        path, "versions." + version.name(), Integer.toString(version.weight()), path)));
    }

    /**
     * Adds an adapter.
     *
     * @param declared the declaration
     * @param effective its effective settings
     */
    private void add(Declaration.OfAdapter declared, Map<Setting, SettingValue> effective) {
        String path = declared.place().path();
        adapters.add(
                new Adapter(declared.place().name(), declared.model(), whole(effective, Setting.ADAPTER_MEMORY_BYTES)));
        values.add(new EffectiveValue(path, "model", declared.model(), path));
    }

    /**
     * Adds a route.
     *
     * @param declared the declaration
     * @param effective its effective settings
     */
    private void add(Declaration.OfRoute declared, Map<Setting, SettingValue> effective) {
        String path = declared.place().path();
        routes.add(new Route(
                declared.place().name(),
                declared.pathPrefix(),
                declared.service(),
                flag(effective, Setting.OPEN),
                flag(effective, Setting.REPEATABLE),
                whole(effective, Setting.TIMEOUT_MILLIS),
                whole(effective, Setting.TOKEN_COST)));
        values.add(new EffectiveValue(path, "path_prefix", declared.pathPrefix(), path));
        values.add(new EffectiveValue(path, "service", declared.service(), path));
    }

    /** Checks that the base model of each adapter is declared. */
    private void checkBaseModels() {
        Set<String> declared = new HashSet<>();
        models.forEach(model -> declared.add(model.name()));
        for (Adapter adapter : adapters) {
            if (!declared.contains(adapter.model())) {
                Declaration.Place place = places.get(DeclarationKind.MODEL.key() + " " + adapter.name());
                error(place, "model", "No such model: " + adapter.model());
            }
        }
    }

    /** Checks that the models that a workspace may use are declared. */
    private void checkUsableModels() {
        for (Workspace workspace : workspaces) {
            Declaration.Place place = places.get(DeclarationKind.WORKSPACE.key() + " " + workspace.name());
            workspace.models().stream()
                    .sorted()
                    .filter(name -> !places.containsKey(DeclarationKind.MODEL.key() + " " + name))
                    .forEach(name -> error(place, Setting.USABLE_MODELS.key(), "No such model or adapter: " + name));
        }
    }

    /** Checks that the burst of each workspace covers a request of each route that needs a key. */
    private void checkBursts() {
        for (Workspace workspace : workspaces) {
            Declaration.Place place = places.get(DeclarationKind.WORKSPACE.key() + " " + workspace.name());
            routes.stream()
                    .filter(route -> !route.open() && route.tokenCost() > workspace.burstTokens())
                    .forEach(route -> error(
                            place,
                            Setting.BURST_TOKENS.key(),
                            workspace.burstTokens() + " is below the token_cost " + route.tokenCost() + " of route "
                                    + route.name()));
        }
    }

    /**
     * Records an error of a declaration.
     *
     * @param place the place of the declaration
     * @param key the faulty key
     * @param message what is wrong
     */
    private void error(Declaration.Place place, String key, String message) {
        errors.add(new TreeError(place.path() + "." + key, place.line(), message));
    }

    /**
     * Returns an effective whole number.
     *
     * @param effective the effective settings
     * @param setting the setting
     * @return the number
     */
    private static long whole(Map<Setting, SettingValue> effective, Setting setting) {
        return ((SettingValue.Whole) effective.get(setting)).number();
    }

    /**
     * Returns an effective truth value.
     *
     * @param effective the effective settings
     * @param setting the setting
     * @return the truth value
     */
    private static boolean flag(Map<Setting, SettingValue> effective, Setting setting) {
        return ((SettingValue.Flag) effective.get(setting)).raised();
    }
}
