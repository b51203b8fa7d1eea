package org.borageproxy.execution;

import java.time.Duration;

/**
 * The settings of request execution. Immutable and thread safe.
 *
 * @param replicaTimeout how long an admitted request waits for a replica, or for capacity on full ones, before it fails
 * @param responseStorageTimeout how long the storage of the response of a claimed request may delay its delivery
 * @param maximumAttempts the maximum number of attempts of one request
 * @param retryRatio the number of retries allowed per request, on average
 * @param retryBurst the number of retries allowed at once after a period without retries
 * @param maximumStoredResponseBytes the maximum size of a response that is stored for replay, in bytes
 */
public record ExecutionSettings(
        Duration replicaTimeout,
        Duration responseStorageTimeout,
        int maximumAttempts,
        double retryRatio,
        double retryBurst,
        int maximumStoredResponseBytes) {

    /** The default settings. */
    public static final ExecutionSettings DEFAULT =
            new ExecutionSettings(Duration.ofSeconds(5), Duration.ofSeconds(2), 4, 0.1, 50.0, 65_536);

    /** Validates the settings. */
    public ExecutionSettings {
        if (maximumAttempts < 1 || retryRatio < 0 || retryBurst < 0 || maximumStoredResponseBytes < 0) {
            throw new IllegalArgumentException("maximumAttempts must be at least 1, the other numbers at least 0");
        }
    }
}
