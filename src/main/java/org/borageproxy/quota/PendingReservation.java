package org.borageproxy.quota;

import java.util.concurrent.CompletableFuture;

import org.borageproxy.quota.TokenQuota.Decision;
import org.borageproxy.time.Deadline;

/**
 * A reservation that waits for credit. Immutable and thread safe, apart from the future, which is completed once.
 *
 * @param tokens the tokens to reserve
 * @param arrivedAtNanos when the reservation was requested
 * @param deadline the time until which it may wait
 * @param decision completed with the decision, outside of any lock
 */
record PendingReservation(long tokens, long arrivedAtNanos, Deadline deadline, CompletableFuture<Decision> decision) {}
