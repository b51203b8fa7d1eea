package org.borageproxy.operator;

import java.util.Map;
import java.util.Optional;

import io.vertx.core.json.JsonObject;

/**
 * A request of an operator whose credential was accepted. Not thread safe, since the body can be changed.
 *
 * @param pathParameters the values of the parameters in the route's path
 * @param queryParameters the parameters of the query
 * @param body the body, empty if there is none
 */
public record OperatorRequest(
        Map<String, String> pathParameters, Map<String, String> queryParameters, JsonObject body) {

    /** Copies the parameters. */
    public OperatorRequest {
        pathParameters = Map.copyOf(pathParameters);
        queryParameters = Map.copyOf(queryParameters);
    }

    /**
     * Returns a text of the body.
     *
     * @param field the field's name
     * @return the text, or empty if it is missing or no text
     */
    public Optional<String> text(String field) {
        return body.getValue(field) instanceof String text && !text.isEmpty() ? Optional.of(text) : Optional.empty();
    }

    /**
     * Returns a whole number, not negative, of the body.
     *
     * @param field the field's name
     * @return the number, or empty if it is missing or no such number
     */
    public Optional<Long> number(String field) {
        Object value = body.getValue(field);
        boolean isWhole = value instanceof Integer || value instanceof Long;
        return isWhole && ((Number) value).longValue() >= 0
                ? Optional.of(((Number) value).longValue())
                : Optional.empty();
    }

    /**
     * Returns a whole number, not negative, of the query.
     *
     * @param parameter the parameter's name
     * @return the number, or empty if it is missing or no such number
     */
    public Optional<Long> queryNumber(String parameter) {
        try {
            return Optional.ofNullable(queryParameters.get(parameter))
                    .map(Long::parseLong)
                    .filter(number -> number >= 0);
        } catch (NumberFormatException exception) {
            return Optional.empty();
        }
    }
}
