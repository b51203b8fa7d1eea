package org.borageproxy.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** The headers that concern one connection only and are never passed on. Stateless and thread safe. */
public final class HopByHopHeaders {

    private static final Set<String> ALWAYS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "transfer-encoding",
            "te",
            "trailer",
            "upgrade");

    private HopByHopHeaders() {}

    /**
     * Returns the names that a head declares to concern its connection.
     *
     * @param values the values of its header Connection
     * @return the names in lower case
     */
    public static Set<String> connectionOptions(List<String> values) {
        Set<String> names = new HashSet<>();
        for (String value : values) {
            for (String name : value.split(",")) {
                names.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }

    /**
     * Tells whether a header concerns one connection only.
     *
     * @param name the name in lower case
     * @param declared the names that the head declares
     * @return {@code true} if it is not passed on
     */
    public static boolean isHopByHop(String name, Set<String> declared) {
        return ALWAYS.contains(name) || declared.contains(name);
    }
}
