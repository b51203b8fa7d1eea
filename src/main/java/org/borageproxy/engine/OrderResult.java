package org.borageproxy.engine;

/** The known outcome of an order. Implementations are immutable. */
public sealed interface OrderResult {

    /** No byte of the order left this VM. */
    record NotSent() implements OrderResult {}

    /** The engine accepted the order and may execute it later. */
    record Accepted() implements OrderResult {}

    /**
     * The engine rejected the order because it had accepted a higher fencing token.
     *
     * @param highestFencing the highest token that it had accepted
     */
    record Fenced(long highestFencing) implements OrderResult {}

    /**
     * The engine rejected the order for another reason and will not execute it.
     *
     * @param status the HTTP status
     */
    record Refused(int status) implements OrderResult {}

    /** The engine did not answer, or its answer leaves open whether it executes the order now, later or never. */
    record Unknown() implements OrderResult {}
}
