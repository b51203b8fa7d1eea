package org.borageproxy.operator;

import java.util.Map;
import java.util.Optional;

import io.vertx.core.json.JsonObject;

/**
 * An authenticated request of an operator. Not thread safe, since the body is mutable.
 *
 * @param pathParameters the parameters of the route's path, by name
 * @param queryParameters the parameters of the query, by name
 * @param body the JSON body, an empty object if the request has none
 */
public record OperatorRequest(
        Map<String, String> pathParameters, Map<String, String> queryParameters, JsonObject body) {

    /** Creates a request from unmodifiable copies of the parameters. */
    public OperatorRequest {
        pathParameters = Map.copyOf(pathParameters);
        queryParameters = Map.copyOf(queryParameters);
    }

    /**
     * Returns a string field of the body.
     *
     * @param field the field's name
     * @return the string, or empty if the field is missing, empty or not a string
     */
    public Optional<String> textField(String field) {
        return body.getValue(field) instanceof String text && !text.isEmpty() ? Optional.of(text) : Optional.empty();
    }

    /**
     * Returns a non-negative integer field of the body.
     *
     * @param field the field's name
     * @return the number, or empty if it is missing, negative or not an integer
     */
    public Optional<Long> numberField(String field) {
        Object value = body.getValue(field);
        boolean isInteger = value instanceof Integer || value instanceof Long;
        return isInteger && ((Number) value).longValue() >= 0
                ? Optional.of(((Number) value).longValue())
                : Optional.empty();
    }

    /**
     * Returns a non-negative integer parameter of the query.
     *
     * @param parameter the parameter's name
     * @return the number, or empty if it is missing, negative or not an integer
     */
    public Optional<Long> queryNumberParameter(String parameter) {
        try {
            return Optional.ofNullable(queryParameters.get(parameter))
                    .map(Long::parseLong)
                    .filter(number -> number >= 0);
        } catch (NumberFormatException exception) {
            return Optional.empty();
        }
    }
}
