package org.borageproxy.tree;

import java.util.List;
import java.util.Map;

/**
 * A workspace, model, adapter or route declared by a branch, before inheritance is resolved. Implementations are
 * immutable.
 */
public sealed interface Declaration {

    /**
     * Returns the name and position of the declaration.
     *
     * @return the location
     */
    Location location();

    /**
     * Returns the settings written in the declaration itself, without inherited ones.
     *
     * @return the settings
     */
    Map<Setting, SettingValue> settings();

    /**
     * Returns the kind of declaration.
     *
     * @return the kind
     */
    DeclarationKind kind();

    /**
     * The name of a declaration and its position in the document.
     *
     * @param name the declared name
     * @param path the dotted path in the document
     * @param line the line in the document, counted from one, or zero if unknown
     */
    record Location(String name, String path, int line) {}

    /**
     * A declared workspace.
     *
     * @param location the name and position
     * @param settings the settings written in the declaration, without inherited ones
     */
    record WorkspaceDeclaration(Location location, Map<Setting, SettingValue> settings) implements Declaration {

        /**
         * Creates a declaration from an unmodifiable copy of the settings.
         *
         * @param location the name and position
         * @param settings the settings written in the declaration, without inherited ones
         */
        public WorkspaceDeclaration {
            settings = Map.copyOf(settings);
        }

        @Override
        public DeclarationKind kind() {
            return DeclarationKind.WORKSPACE;
        }
    }

    /**
     * A declared model.
     *
     * @param location the name and position
     * @param settings the settings written in the declaration, without inherited ones
     * @param versions the versions with their weights
     */
    record ModelDeclaration(Location location, Map<Setting, SettingValue> settings, List<ModelVersion> versions)
            implements Declaration {

        /**
         * Creates a declaration from unmodifiable copies of the collections.
         *
         * @param location the name and position
         * @param settings the settings written in the declaration, without inherited ones
         * @param versions the versions with their weights
         */
        public ModelDeclaration {
            settings = Map.copyOf(settings);
            versions = List.copyOf(versions);
        }

        @Override
        public DeclarationKind kind() {
            return DeclarationKind.MODEL;
        }
    }

    /**
     * A declared adapter.
     *
     * @param location the name and position
     * @param settings the settings written in the declaration, without inherited ones
     * @param model the name of the base model
     */
    record AdapterDeclaration(Location location, Map<Setting, SettingValue> settings, String model)
            implements Declaration {

        /**
         * Creates a declaration from an unmodifiable copy of the settings.
         *
         * @param location the name and position
         * @param settings the settings written in the declaration, without inherited ones
         * @param model the name of the base model
         */
        public AdapterDeclaration {
            settings = Map.copyOf(settings);
        }

        @Override
        public DeclarationKind kind() {
            return DeclarationKind.ADAPTER;
        }
    }

    /**
     * A declared route.
     *
     * @param location the name and position
     * @param settings the settings written in the declaration, without inherited ones
     * @param pathPrefix the prefix of the request paths that the route matches
     * @param service the name of the service that requests are forwarded to
     */
    record RouteDeclaration(Location location, Map<Setting, SettingValue> settings, String pathPrefix, String service)
            implements Declaration {

        /**
         * Creates a declaration from an unmodifiable copy of the settings.
         *
         * @param location the name and position
         * @param settings the settings written in the declaration, without inherited ones
         * @param pathPrefix the prefix of the request paths that the route matches
         * @param service the name of the service that requests are forwarded to
         */
        public RouteDeclaration {
            settings = Map.copyOf(settings);
        }

        @Override
        public DeclarationKind kind() {
            return DeclarationKind.ROUTE;
        }
    }
}
