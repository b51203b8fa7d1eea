package org.borageproxy.quota;

import java.util.concurrent.CompletableFuture;

import org.borageproxy.quota.TokenQuota.Decision;
import org.borageproxy.time.Deadline;

/**
 * A reservation that waits for credit. Immutable but for its future, which is completed once; thread safe.
 *
 * @param tokens the tokens it needs
 * @param arrivedAtNanos when it came
 * @param deadline until when it may wait
 * @param decision completed with the decision, outside any lock
 */
record PendingReservation(long tokens, long arrivedAtNanos, Deadline deadline, CompletableFuture<Decision> decision) {}
