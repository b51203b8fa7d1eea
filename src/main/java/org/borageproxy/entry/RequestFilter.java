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
 * Validates requests and selects what is forwarded: refuses ambiguous framing and keys outside the Authorization
 * header, and forwards only allow-listed headers. Pure, stateless and thread safe.
 */
enum RequestFilter {
    /** The singleton instance. */
    INSTANCE;

    private static final Set<String> FORWARDED_HEADERS = Set.of(
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
    /** Names under which other APIs accept keys. */
    private static final Set<String> KEY_PARAMETERS =
            Set.of("api_key", "api-key", "apikey", "x-api-key", "access_token", "authorization", "bearer");
    /** Texts with fewer characters are never taken for a key. */
    private static final int MINIMUM_KEY_LENGTH = 8;
    /**
     * The number of forms of a text that are checked: the text as received and its successive percent decodings. Bounds
     * the work on nested encodings.
     */
    private static final int MAXIMUM_DECODING_PASSES = 3;

    /**
     * Validates the headers of a request.
     *
     * @param headers the headers
     * @param maximumCount the maximum number of header lines
     * @return the reason for the refusal, empty if the request may proceed
     */
    Optional<ResultCode> checkHeaders(List<Map.Entry<String, String>> headers, int maximumCount) {
        if (headers.size() > maximumCount) {
            return Optional.of(ResultCode.MALFORMED_REQUEST);
        }
        boolean ambiguous = countLines(headers, "host") != 1
                || countLines(headers, "content-length") > 1
                || countLines(headers, "transfer-encoding") > 1
                || (countLines(headers, "content-length") > 0 && countLines(headers, "transfer-encoding") > 0);
        if (ambiguous) {
            return Optional.of(ResultCode.AMBIGUOUS_FRAMING);
        }
        return countLines(headers, "authorization") > 1 ? Optional.of(ResultCode.KEY_REFUSED) : Optional.empty();
    }

    private static long countLines(List<Map.Entry<String, String>> headers, String name) {
        return headers.stream()
                .filter(header -> header.getKey().equalsIgnoreCase(name))
                .count();
    }

    /**
     * Returns whether the query contains a key, by the names of its parameters and by the digests of their names and
     * values.
     *
     * @param query the query, {@code null} if there is none
     * @param configuration the current configuration
     * @return {@code true} if the query contains a key
     */
    boolean hasKeyInQuery(String query, Configuration configuration) {
        if (query == null || query.isEmpty()) {
            return false;
        }
        for (String parameter : query.split("[&;]")) {
            int separatorIndex = parameter.indexOf('=');
            String name = separatorIndex < 0 ? parameter : parameter.substring(0, separatorIndex);
            String value = separatorIndex < 0 ? parameter : parameter.substring(separatorIndex + 1);
            boolean isKeyParameter = KEY_PARAMETERS.contains(percentDecode(name).toLowerCase(Locale.ROOT));
            if (isKeyParameter || isKnownKey(name, configuration) || isKnownKey(value, configuration)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a text is a known key, whether or not it is withdrawn.
     *
     * @param text the text, possibly percent-encoded
     * @param configuration the current configuration
     * @return {@code true} if it is a key
     */
    private static boolean isKnownKey(String text, Configuration configuration) {
        if (text.length() < MINIMUM_KEY_LENGTH) {
            return false;
        }
        String decoded = text;
        for (int pass = 0; pass < MAXIMUM_DECODING_PASSES; pass++) {
            if (configuration.keysByDigest().containsKey(KeyDigest.of(decoded).value())) {
                return true;
            }
            if (decoded.indexOf('%') < 0) {
                return false;
            }
            decoded = percentDecode(decoded);
        }
        return false;
    }

    /**
     * Returns whether a text contains the caller's key, plain, percent-encoded or in Base64. After the last decoding,
     * only the plain key is searched for.
     *
     * @param text the text
     * @param key the caller's key
     * @return {@code true} if it does
     */
    boolean containsKey(String text, String key) {
        byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
        String base64Key = Base64.getEncoder().withoutPadding().encodeToString(bytes);
        String decoded = text;
        for (int pass = 0; pass < MAXIMUM_DECODING_PASSES; pass++) {
            if (decoded.contains(key) || decoded.contains(base64Key)) {
                return true;
            }
            if (decoded.indexOf('%') < 0) {
                return false;
            }
            decoded = percentDecode(decoded);
        }
        return decoded.contains(key);
    }

    /**
     * Returns whether a path contains no dot segment, backslash or control character, not even in percent encoding.
     *
     * @param path the path
     * @return {@code true} if the path is absolute and normalized
     */
    boolean isNormalizedPath(String path) {
        String decoded = path;
        for (int pass = 0; pass < MAXIMUM_DECODING_PASSES; pass++) {
            if (!decoded.startsWith("/")
                    || decoded.indexOf('\\') >= 0
                    || hasControlCharacter(decoded)
                    || hasDotSegment(decoded)) {
                return false;
            }
            decoded = percentDecode(decoded);
        }
        return true;
    }

    private static boolean hasControlCharacter(String text) {
        return text.chars().anyMatch(Character::isISOControl);
    }

    private static boolean hasDotSegment(String path) {
        for (String segment : path.split("/")) {
            String name = segment.split(";", 2)[0];
            if (name.equals(".") || name.equals("..")) {
                return true;
            }
        }
        return false;
    }

    /**
     * Selects the headers that are forwarded to a plain service.
     *
     * @param headers the headers of the request
     * @param key the caller's key, if any; headers that contain it are dropped
     * @return the forwarded headers
     */
    List<Map.Entry<String, String>> forwardedHeaders(List<Map.Entry<String, String>> headers, Optional<String> key) {
        return headers.stream()
                .filter(header -> FORWARDED_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT)))
                .filter(header -> key.isEmpty() || !containsKey(header.getValue(), key.get()))
                .toList();
    }

    /**
     * Decodes one layer of percent encoding. A plus sign is kept.
     *
     * @param text the text
     * @return the decoded text, or the text itself if its encoding is malformed
     */
    private static String percentDecode(String text) {
        try {
            return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException exception) {
            return text;
        }
    }
}
