package org.borageproxy.entry;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.key.KeyDigest;
import org.borageproxy.result.ResultCode;
import org.borageproxy.tree.Configuration;

/**
 * Decides what of a request may go on: refuses ambiguous heads and keys in the wrong place, and passes on only the
 * headers of an allow-list. Pure, stateless and thread safe.
 */
enum RequestFilter {
    /** The only filter. */
    INSTANCE;

    /** The headers that reach a plain service. */
    private static final Set<String> PASSED_ON = Set.of(
            "accept",
            "accept-encoding",
            "accept-language",
            "content-type",
            "content-encoding",
            "content-language",
            "idempotency-key",
            "if-match",
            "if-modified-since",
            "if-none-match",
            "if-unmodified-since",
            "range",
            "traceparent",
            "user-agent");
    /** The names of query parameters that carry keys elsewhere. */
    private static final Set<String> KEY_PARAMETERS =
            Set.of("api_key", "api-key", "apikey", "x-api-key", "access_token", "authorization", "bearer");
    /** The characters of a text below which it is taken for no key. */
    private static final int SHORTEST_KEY = 8;
    /** How many layers of percent encoding are looked through. */
    private static final int DECODED_LAYERS = 3;

    /**
     * Checks the head of a request.
     *
     * @param headers the headers
     * @param maximumCount the largest number of header lines
     * @return why the request is refused, empty if it may go on
     */
    Optional<ResultCode> checkHeaders(List<Map.Entry<String, String>> headers, int maximumCount) {
        if (headers.size() > maximumCount) {
            return Optional.of(ResultCode.MALFORMED_REQUEST);
        }
        boolean ambiguous = count(headers, "host") != 1
                || count(headers, "content-length") > 1
                || count(headers, "transfer-encoding") > 1
                || (count(headers, "content-length") > 0 && count(headers, "transfer-encoding") > 0);
        if (ambiguous) {
            return Optional.of(ResultCode.AMBIGUOUS_FRAMING);
        }
        return count(headers, "authorization") > 1 ? Optional.of(ResultCode.KEY_REFUSED) : Optional.empty();
    }

    /**
     * Counts the lines of a header.
     *
     * @param headers the headers
     * @param name the header's name in lower case
     * @return the number of lines
     */
    private static long count(List<Map.Entry<String, String>> headers, String name) {
        return headers.stream()
                .filter(header -> header.getKey().equalsIgnoreCase(name))
                .count();
    }

    /**
     * Checks that the query carries no key, by the names of its parameters and by the digests of their values.
     *
     * @param query the query, {@code null} if there is none
     * @param configuration the configuration served now
     * @return {@code true} if the query carries a key
     */
    boolean hasKeyInQuery(String query, Configuration configuration) {
        if (query == null || query.isEmpty()) {
            return false;
        }
        for (String parameter : query.split("[&;]")) {
            int equals = parameter.indexOf('=');
            String name = equals < 0 ? parameter : parameter.substring(0, equals);
            String value = equals < 0 ? parameter : parameter.substring(equals + 1);
            boolean named = KEY_PARAMETERS.contains(decode(name).toLowerCase(Locale.ROOT));
            if (named || isKey(name, configuration) || isKey(value, configuration)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Tells whether a text is a key that exists or existed.
     *
     * @param text the text, perhaps encoded
     * @param configuration the configuration served now
     * @return {@code true} if it is a key
     */
    private static boolean isKey(String text, Configuration configuration) {
        if (text.length() < SHORTEST_KEY) {
            return false;
        }
        String decoded = text;
        for (int layer = 0; layer < DECODED_LAYERS; layer++) {
            if (configuration.keysByDigest().containsKey(KeyDigest.of(decoded).value())) {
                return true;
            }
            if (decoded.indexOf('%') < 0) {
                return false;
            }
            decoded = decode(decoded);
        }
        return false;
    }

    /**
     * Tells whether a text holds the caller's key, plain, percent-encoded or in Base64.
     *
     * @param text the text
     * @param key the caller's key
     * @return {@code true} if it does
     */
    boolean containsKey(String text, String key) {
        byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
        String encoded = Base64.getEncoder().withoutPadding().encodeToString(bytes);
        String decoded = text;
        for (int layer = 0; layer < DECODED_LAYERS; layer++) {
            if (decoded.contains(key) || decoded.contains(encoded)) {
                return true;
            }
            if (decoded.indexOf('%') < 0) {
                return false;
            }
            decoded = decode(decoded);
        }
        return decoded.contains(key);
    }

    /**
     * Tells whether a path is in its plain form: no empty or dot segments, also under percent encoding, and no
     * backslash or control character.
     *
     * @param path the path
     * @return {@code true} if it is
     */
    boolean isNormalizedPath(String path) {
        String decoded = path;
        for (int layer = 0; layer < DECODED_LAYERS; layer++) {
            if (!decoded.startsWith("/") || decoded.indexOf('\\') >= 0 || hasControl(decoded) || hasDots(decoded)) {
                return false;
            }
            decoded = decode(decoded);
        }
        return true;
    }

    /**
     * Tells whether a text holds a control character.
     *
     * @param text the text
     * @return {@code true} if it does
     */
    private static boolean hasControl(String text) {
        return text.chars().anyMatch(Character::isISOControl);
    }

    /**
     * Tells whether a path has dot segments.
     *
     * @param path the path
     * @return {@code true} if it has
     */
    private static boolean hasDots(String path) {
        for (String segment : path.split("/")) {
            String name = segment.split(";", 2)[0];
            if (name.equals(".") || name.equals("..")) {
                return true;
            }
        }
        return false;
    }

    /**
     * Selects the headers that reach a plain service.
     *
     * @param headers the caller's headers
     * @param key the caller's key, if one was sent
     * @return the headers to pass on
     */
    List<Map.Entry<String, String>> forwardedHeaders(List<Map.Entry<String, String>> headers, Optional<String> key) {
        return headers.stream()
                .filter(header -> PASSED_ON.contains(header.getKey().toLowerCase(Locale.ROOT)))
                .filter(header -> key.isEmpty() || !containsKey(header.getValue(), key.get()))
                .toList();
    }

    /**
     * Removes one layer of percent encoding.
     *
     * @param text the text
     * @return the decoded text, or the text itself if it is not well encoded
     */
    private static String decode(String text) {
        try {
            return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException exception) {
            return text;
        }
    }
}
