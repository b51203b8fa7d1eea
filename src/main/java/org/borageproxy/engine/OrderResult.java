package org.borageproxy.engine;

/** What is known of an order after it was given. Implementations are immutable. */
public sealed interface OrderResult {

    /** No byte of the order left this VM. */
    record NotSent() implements OrderResult {}

    /** The engine accepted the order and may execute it late. */
    record Accepted() implements OrderResult {}

    /**
     * The engine refused the order because it accepted a higher fencing number before.
     *
     * @param highestFencing the number that it accepted
     */
    record Fenced(long highestFencing) implements OrderResult {}

    /**
     * The engine refused the order for another reason and will not execute it.
     *
     * @param status the HTTP status
     */
    record Refused(int status) implements OrderResult {}

    /** No answer came; the engine may execute the order now, later or never. */
    record Unknown() implements OrderResult {}
}
