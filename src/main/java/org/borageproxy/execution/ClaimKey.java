package org.borageproxy.execution;

/**
 * Identifies a request that must run at most once. Immutable and thread safe.
 *
 * @param workspace the caller's workspace
 * @param idempotencyKey the caller's idempotency key
 */
public record ClaimKey(String workspace, String idempotencyKey) {}
