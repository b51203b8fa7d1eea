package org.borageproxy.execution;

import org.borageproxy.time.Deadline;
import org.borageproxy.tree.Model;

/**
 * A request to a model engine. Immutable and thread safe.
 *
 * @param identity the request ID
 * @param model the base model
 * @param adapter the name of the adapter, empty for none
 * @param prompt the prompt
 * @param promptTokens the estimated number of prompt tokens
 * @param maximumOutputTokens the maximum number of output tokens
 * @param priority the priority
 * @param deadline when the response must be complete
 * @param repeatable whether the request may run more than once
 */
public record EngineRequest(
        String identity,
        Model model,
        String adapter,
        String prompt,
        long promptTokens,
        int maximumOutputTokens,
        int priority,
        Deadline deadline,
        boolean repeatable) {}
