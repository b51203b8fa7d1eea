package org.borageproxy.execution;

import java.time.Duration;

/**
 * The settings of the execution of requests. Immutable and thread safe.
 *
 * @param replicaTimeout how long a dispatched request waits for a replica before it is given up
 * @param claimTimeout how long a claim or the record of its answer may take
 * @param maximumAttempts the largest number of attempts of one request
 * @param retryRatio the share of the traffic that may be retries
 * @param retryBurst the retries that may take place at once after a quiet time
 * @param maximumStoredResponseBytes the largest answer that is kept for resends, in bytes
 */
public record ExecutionSettings(
        Duration replicaTimeout,
        Duration claimTimeout,
        int maximumAttempts,
        double retryRatio,
        double retryBurst,
        int maximumStoredResponseBytes) {

    /** The settings that hold unless an operator states others. */
    public static final ExecutionSettings DEFAULT =
            new ExecutionSettings(Duration.ofSeconds(5), Duration.ofSeconds(2), 4, 0.1, 50.0, 65_536);

    /** Refuses values without meaning. */
    public ExecutionSettings {
        if (maximumAttempts < 1 || retryRatio < 0 || retryBurst < 0 || maximumStoredResponseBytes < 0) {
            throw new IllegalArgumentException("Execution settings must not be negative");
        }
    }
}
