package org.borageproxy.quota;

/**
 * Tokens that a reservation did not use. Immutable and thread safe.
 *
 * @param sinceOwnerNanos a reading of the owner's clock no later than when it learnt that the tokens were spent
 * @param tokens the tokens given back
 */
record TokenRefund(long sinceOwnerNanos, long tokens) {}
