package org.borageproxy.operator;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * A method and path template of the operators' interface with its handler. Immutable and thread safe.
 *
 * @param method the HTTP method
 * @param path the path template, in which a segment in braces is a parameter
 * @param handler the handler of matching requests
 */
public record OperatorRoute(String method, String path, Handler handler) {

    /**
     * Matches a path against the template, whatever the method.
     *
     * @param requested the path of a request
     * @return the values of the parameters by name, not URL-decoded, or empty if the path does not match
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

    /** Handles requests of operators. Called on a worker thread, where it may block. */
    @FunctionalInterface
    public interface Handler {

        /**
         * Handles a request.
         *
         * @param request the request
         * @return the response; a failure is answered as an internal error
         */
        CompletionStage<OperatorResponse> handle(OperatorRequest request);
    }
}
