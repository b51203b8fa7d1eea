package org.borageproxy.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Hop-by-hop headers, which concern one connection and are never forwarded. Stateless and thread safe. */
public final class HopByHopHeaders {

    private static final Set<String> HOP_BY_HOP_NAMES = Set.of(
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
     * Parses the options of a message's Connection header; each names a further hop-by-hop header.
     *
     * @param values the values of the Connection header
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
     * Returns whether a header is hop-by-hop.
     *
     * @param name the name in lower case
     * @param connectionOptions the result of {@link #connectionOptions} for the same message
     * @return {@code true} if the header must not be forwarded
     */
    public static boolean isHopByHop(String name, Set<String> connectionOptions) {
        return HOP_BY_HOP_NAMES.contains(name) || connectionOptions.contains(name);
    }
}
