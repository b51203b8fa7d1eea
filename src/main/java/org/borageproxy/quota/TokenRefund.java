package org.borageproxy.quota;

/**
 * Unused tokens of settled or refunded reservations. Immutable and thread safe.
 *
 * @param sinceOwnerNanos a reading of the owner's clock no later than when the tokens were reported to it as spent
 * @param tokens the tokens to refund
 */
record TokenRefund(long sinceOwnerNanos, long tokens) {}
