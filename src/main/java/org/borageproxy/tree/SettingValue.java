package org.borageproxy.tree;

import java.util.Set;
import java.util.TreeSet;

/** The value of a setting. Implementations are immutable. */
public sealed interface SettingValue {

    /**
     * Returns the value as shown to operators.
     *
     * @return the value as text
     */
    String text();

    /**
     * An integer.
     *
     * @param number the integer
     */
    record IntegerValue(long number) implements SettingValue {

        @Override
        public String text() {
            return Long.toString(number);
        }
    }

    /**
     * A boolean.
     *
     * @param value the boolean
     */
    record BooleanValue(boolean value) implements SettingValue {

        @Override
        public String text() {
            return Boolean.toString(value);
        }
    }

    /**
     * A set of names.
     *
     * @param names the names
     */
    record NameSet(Set<String> names) implements SettingValue {

        /**
         * Creates a value from an unmodifiable copy of the set.
         *
         * @param names the names
         */
        public NameSet {
            names = Set.copyOf(names);
        }

        @Override
        public String text() {
            return new TreeSet<>(names).toString();
        }
    }
}
