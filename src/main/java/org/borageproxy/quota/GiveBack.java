package org.borageproxy.quota;

/**
 * Tokens that a reservation did not use. Immutable and thread safe.
 *
 * @param sinceOwnerNanos a reading of the owner's clock that is no later than the reservation
 * @param tokens the tokens given back
 */
record GiveBack(long sinceOwnerNanos, long tokens) {}
