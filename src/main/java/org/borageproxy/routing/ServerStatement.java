package org.borageproxy.routing;

import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a backend server states about its capacity in an answer. It holds until the server states something else.
 * Immutable and thread safe.
 *
 * @param requestLimit the requests per second that the server takes from all VMs together; empty if it states no limit
 * @param rejectionLimit the number of requests that the server can reject for want of room within one second without
 *     failing; empty if it states none
 * @param coldMillis the time until the server is warm, in milliseconds; empty if it states none
 */
public record ServerStatement(OptionalDouble requestLimit, OptionalInt rejectionLimit, OptionalLong coldMillis) {

    /** The statement of a server without limits. */
    public static final ServerStatement NONE = new ServerStatement(OptionalDouble.empty(), OptionalInt.empty());

    /** Rejects limits that are negative or no numbers. */
    public ServerStatement {
        if (requestLimit.isPresent() && !(requestLimit.getAsDouble() >= 0 && requestLimit.getAsDouble() < 1e9)) {
            throw new IllegalArgumentException("Request limit out of range: " + requestLimit.getAsDouble());
        }
        if (rejectionLimit.isPresent() && rejectionLimit.getAsInt() < 0) {
            throw new IllegalArgumentException("Rejection limit out of range: " + rejectionLimit.getAsInt());
        }
    }

    /**
     * Creates a statement of limits alone.
     *
     * @param requestLimit the requests per second that the server takes from all VMs together; empty if it states no
     *     limit
     * @param rejectionLimit the number of requests that the server can reject for want of room within one second
     *     without failing; empty if it states none
     */
    public ServerStatement(OptionalDouble requestLimit, OptionalInt rejectionLimit) {
        this(requestLimit, rejectionLimit, OptionalLong.empty());
    }

    /**
     * Returns the limits without the time until the server is warm, which changes with each answer.
     *
     * @return this statement if it has no such time
     */
    public ServerStatement limits() {
        return coldMillis.isEmpty() ? this : new ServerStatement(requestLimit, rejectionLimit);
    }

    /**
     * Returns whether the server has to be spared.
     *
     * @return {@code true} if any limit is stated
     */
    public boolean isLimiting() {
        return requestLimit.isPresent() || rejectionLimit.isPresent();
    }

    @Override
    public String toString() {
        String requests = requestLimit.isPresent() ? Double.toString(requestLimit.getAsDouble()) : "-";
        String rejections = rejectionLimit.isPresent() ? Integer.toString(rejectionLimit.getAsInt()) : "-";
        return "request_limit=" + requests + " rejection_limit=" + rejections;
    }
}
