package org.borageproxy.tree;

import java.util.List;
import java.util.Map;

/** Something declared by a branch, before inheritance is resolved. Implementations are immutable. */
public sealed interface Declaration {

    /**
     * Returns the place of the declaration.
     *
     * @return the place
     */
    Place place();

    /**
     * Returns the settings written in the declaration itself.
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
     * Where a declaration stands.
     *
     * @param name the declared name
     * @param path the path in the document
     * @param line the line in the document
     */
    record Place(String name, String path, int line) {}

    /**
     * A declared workspace.
     *
     * @param place the place
     * @param settings the settings written in the declaration
     */
    record OfWorkspace(Place place, Map<Setting, SettingValue> settings) implements Declaration {

        /**
         * Copies the settings.
         *
         * @param place the place
         * @param settings the settings written in the declaration
         */
        public OfWorkspace {
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
     * @param place the place
     * @param settings the settings written in the declaration
     * @param versions the versions
     */
    record OfModel(Place place, Map<Setting, SettingValue> settings, List<ModelVersion> versions)
            implements Declaration {

        /**
         * Copies the collections.
         *
         * @param place the place
         * @param settings the settings written in the declaration
         * @param versions the versions
         */
        public OfModel {
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
     * @param place the place
     * @param settings the settings written in the declaration
     * @param model the name of the base model
     */
    record OfAdapter(Place place, Map<Setting, SettingValue> settings, String model) implements Declaration {

        /**
         * Copies the settings.
         *
         * @param place the place
         * @param settings the settings written in the declaration
         * @param model the name of the base model
         */
        public OfAdapter {
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
     * @param place the place
     * @param settings the settings written in the declaration
     * @param pathPrefix the prefix of the paths it matches
     * @param service the name of the plain service
     */
    record OfRoute(Place place, Map<Setting, SettingValue> settings, String pathPrefix, String service)
            implements Declaration {

        /**
         * Copies the settings.
         *
         * @param place the place
         * @param settings the settings written in the declaration
         * @param pathPrefix the prefix of the paths it matches
         * @param service the name of the plain service
         */
        public OfRoute {
            settings = Map.copyOf(settings);
        }

        @Override
        public DeclarationKind kind() {
            return DeclarationKind.ROUTE;
        }
    }
}
