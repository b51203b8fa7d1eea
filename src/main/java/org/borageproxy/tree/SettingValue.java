package org.borageproxy.tree;

import java.util.Set;
import java.util.TreeSet;

/** The value of a setting. Implementations are immutable. */
public sealed interface SettingValue {

    /**
     * Returns the value as operators write it.
     *
     * @return the value as text
     */
    String text();

    /**
     * A whole number.
     *
     * @param number the number
     */
    record Whole(long number) implements SettingValue {

        @Override
        public String text() {
            return Long.toString(number);
        }
    }

    /**
     * A truth value.
     *
     * @param raised the truth value
     */
    record Flag(boolean raised) implements SettingValue {

        @Override
        public String text() {
            return Boolean.toString(raised);
        }
    }

    /**
     * A set of names.
     *
     * @param names the names
     */
    record Names(Set<String> names) implements SettingValue {

        /**
         * Copies the set.
         *
         * @param names the names
         */
        public Names {
            names = Set.copyOf(names);
        }

        @Override
        public String text() {
            return new TreeSet<>(names).toString();
        }
    }
}
