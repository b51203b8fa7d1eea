package org.borageproxy.operator;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * A method and path of the operators' interface. Immutable and thread safe.
 *
 * @param method the HTTP method
 * @param path the path, in which a segment in braces is a parameter
 * @param handler answers the requests
 */
public record OperatorRoute(String method, String path, Handler handler) {

    /**
     * Matches a path.
     *
     * @param requested the path of a request
     * @return the values of the parameters, or empty if the path does not match
     */
    Optional<Map<String, String>> match(String requested) {
        String[] expected = path.split("/", -1);
        String[] actual = requested.split("/", -1);
        if (expected.length != actual.length) {
            return Optional.empty();
        }
        Map<String, String> parameters = new HashMap<>();
        for (int index = 0; index < expected.length; index++) {
            String segment = expected[index];
            if (segment.startsWith("{") && segment.endsWith("}")) {
                parameters.put(segment.substring(1, segment.length() - 1), actual[index]);
            } else if (!segment.equals(actual[index])) {
                return Optional.empty();
            }
        }
        return Optional.of(parameters);
    }

    /** Answers requests of operators. Handlers run on a worker thread. */
    @FunctionalInterface
    public interface Handler {

        /**
         * Answers a request.
         *
         * @param request the request
         * @return the answer
         */
        CompletionStage<OperatorAnswer> handle(OperatorRequest request);
    }
}
