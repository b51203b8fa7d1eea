package org.borageproxy.standin;

import io.vertx.core.json.JsonObject;

/**
 * The faults that a stand-in shows now. Immutable and thread safe.
 *
 * @param crashMarker a text that ends the stand-in when a request's body contains it; empty for none
 * @param crashExits whether a crash ends the whole process
 * @param restartAfterMillis the time from a crash to the start of the next incarnation, zero for never
 * @param hang whether requests are accepted and never answered
 * @param lateMillis the time by which answers are delayed, in milliseconds
 * @param crossed whether answers carry the identity of another request
 * @param truncateAfterTokens the number of tokens after which an answer ends early, negative for never
 * @param cutAfterTokens the number of tokens after which the connection closes, negative for never
 * @param lostOrders how many of the next orders are accepted and forgotten
 * @param lostOrderAnswers how many of the next orders are executed without an answer
 * @param lateOrderMillis the time by which orders are executed late, in milliseconds
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

    /** No fault at all. */
    public static final Faults NONE = new Faults("", false, 0, false, 0, false, -1, -1, 0, 0, 0, false);

    /**
     * Reads faults from the body of {@code POST /faults}; a missing field means no such fault.
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
     * Tells whether a request's body ends the stand-in.
     *
     * @param body the body
     * @return {@code true} if the body contains the marker
     */
    public boolean crashesOn(String body) {
        return !crashMarker.isEmpty() && body.contains(crashMarker);
    }

    /**
     * Returns the faults that remain after one order was forgotten.
     *
     * @return a copy with one lost order less
     */
    public Faults withOneLostOrderLess() {
        return withLostOrders(lostOrders - 1, lostOrderAnswers);
    }

    /**
     * Returns the faults that remain after one order's answer was lost.
     *
     * @return a copy with one lost answer less
     */
    public Faults withOneLostAnswerLess() {
        return withLostOrders(lostOrders, lostOrderAnswers - 1);
    }

    /**
     * Returns the same faults with other counts of lost orders.
     *
     * @param orders how many of the next orders are forgotten
     * @param answers how many of the next orders are executed without an answer
     * @return a copy with the counts
     */
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
