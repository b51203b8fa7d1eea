package org.borageproxy.operator;

import io.vertx.core.json.JsonObject;
import org.borageproxy.result.ResultCode;

/**
 * The response to a request of an operator. Not thread safe, since the body is mutable.
 *
 * @param code the result, which determines the HTTP status
 * @param body the JSON body
 */
public record OperatorResponse(ResultCode code, JsonObject body) {

    /**
     * Returns the response to a request that succeeded.
     *
     * @param body the body
     * @return the response
     */
    public static OperatorResponse ok(JsonObject body) {
        return new OperatorResponse(ResultCode.OK, body);
    }

    /**
     * Returns the response to a request that failed, with the standard sentence of the result as its message.
     *
     * @param code the result
     * @return the response
     */
    public static OperatorResponse error(ResultCode code) {
        return error(code, code.sentence());
    }

    /**
     * Returns the response to a request that failed, with a specific message.
     *
     * @param code the result
     * @param message the description shown to the operator
     * @return the response
     */
    public static OperatorResponse error(ResultCode code, String message) {
        JsonObject error = new JsonObject()
                .put("code", code.number())
                .put("name", code.name())
                .put("message", message);
        return new OperatorResponse(code, new JsonObject().put("error", error));
    }

    /**
     * Sets a field of the body.
     *
     * @param field the field's name
     * @param value the value
     * @return this response
     */
    public OperatorResponse putField(String field, Object value) {
        body.put(field, value);
        return this;
    }
}
