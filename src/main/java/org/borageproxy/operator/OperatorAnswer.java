package org.borageproxy.operator;

import io.vertx.core.json.JsonObject;
import org.borageproxy.result.ResultCode;

/**
 * An answer to an operator. Not thread safe, since the body can be changed.
 *
 * @param code the result, which sets the HTTP status
 * @param body the body
 */
public record OperatorAnswer(ResultCode code, JsonObject body) {

    /**
     * Returns the answer to a request that succeeded.
     *
     * @param body the body
     * @return the answer
     */
    public static OperatorAnswer of(JsonObject body) {
        return new OperatorAnswer(ResultCode.OK, body);
    }

    /**
     * Returns the answer to a request that failed.
     *
     * @param code the result
     * @return the answer
     */
    public static OperatorAnswer failed(ResultCode code) {
        return failed(code, code.sentence());
    }

    /**
     * Returns the answer to a request that failed, with what is wrong in particular.
     *
     * @param code the result
     * @param message what is wrong
     * @return the answer
     */
    public static OperatorAnswer failed(ResultCode code, String message) {
        JsonObject error = new JsonObject()
                .put("code", code.number())
                .put("name", code.name())
                .put("message", message);
        return new OperatorAnswer(code, new JsonObject().put("error", error));
    }

    /**
     * Adds a field to the body.
     *
     * @param field the field's name
     * @param value the value
     * @return this answer
     */
    public OperatorAnswer with(String field, Object value) {
        body.put(field, value);
        return this;
    }
}
