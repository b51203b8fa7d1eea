package org.borageproxy.standin;

import io.vertx.core.json.JsonObject;

/**
 * The faults that a stand-in currently injects. Immutable and thread safe.
 *
 * @param crashMarker a text that crashes the stand-in when a request body contains it; empty for none
 * @param crashExits whether a crash ends the whole process instead of the incarnation
 * @param restartAfterMillis the time from a crash to the start of the next incarnation, in milliseconds; zero for never
 * @param hang whether requests are accepted and never answered
 * @param lateMillis the delay of responses, in milliseconds
 * @param crossed whether responses carry a wrong request identity
 * @param truncateAfterTokens the number of tokens after which a stream ends without its last line; negative for never
 * @param cutAfterTokens the number of tokens after which the connection is reset; negative for never
 * @param lostOrders the number of following orders that are accepted and not executed
 * @param lostOrderAnswers the number of following orders that are executed without a response
 * @param lateOrderMillis the delay between the acceptance and the execution of orders, in milliseconds
 * @param silent whether announcements stop
 */
public record Faults(
        String crashMarker,
        boolean crashExits,
        long restartAfterMillis,
        boolean hang,
        long lateMillis,
        boolean crossed,
        int truncateAfterTokens,
        int cutAfterTokens,
        int lostOrders,
        int lostOrderAnswers,
        long lateOrderMillis,
        boolean silent) {

    /** No faults. */
    public static final Faults NONE = new Faults("", false, 0, false, 0, false, -1, -1, 0, 0, 0, false);

    /**
     * Parses the body of {@code POST /faults}. A missing field disables its fault.
     *
     * @param json the body
     * @return the faults
     */
    public static Faults ofJson(JsonObject json) {
        return new Faults(
                json.getString("crash_marker", ""),
                json.getBoolean("crash_exits", false),
                json.getLong("restart_after_millis", 0L),
                json.getBoolean("hang", false),
                json.getLong("late_millis", 0L),
                json.getBoolean("crossed", false),
                json.getInteger("truncate_after_tokens", -1),
                json.getInteger("cut_after_tokens", -1),
                json.getInteger("lost_orders", 0),
                json.getInteger("lost_order_answers", 0),
                json.getLong("late_order_millis", 0L),
                json.getBoolean("silent", false));
    }

    /**
     * Returns whether a request crashes the stand-in.
     *
     * @param body the request's body
     * @return {@code true} if the crash marker is set and the body contains it
     */
    public boolean crashesOn(String body) {
        return !crashMarker.isEmpty() && body.contains(crashMarker);
    }

    /**
     * Returns the faults that remain after one order was dropped.
     *
     * @return a copy with the number of lost orders decremented
     */
    public Faults afterLostOrder() {
        return withLostOrders(lostOrders - 1, lostOrderAnswers);
    }

    /**
     * Returns the faults that remain after the response to one order was dropped.
     *
     * @return a copy with the number of lost responses decremented
     */
    public Faults afterLostOrderAnswer() {
        return withLostOrders(lostOrders, lostOrderAnswers - 1);
    }

    private Faults withLostOrders(int orders, int answers) {
        return new Faults(
                crashMarker,
                crashExits,
                restartAfterMillis,
                hang,
                lateMillis,
                crossed,
                truncateAfterTokens,
                cutAfterTokens,
                orders,
                answers,
                lateOrderMillis,
                silent);
    }
}
