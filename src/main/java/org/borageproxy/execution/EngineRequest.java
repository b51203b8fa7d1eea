package org.borageproxy.execution;

import org.borageproxy.time.Deadline;
import org.borageproxy.tree.Model;

/**
 * What a model engine is asked for. Immutable and thread safe.
 *
 * @param identity the request's identity
 * @param model the base model
 * @param adapter the adapter's name, empty for none
 * @param prompt the prompt
 * @param promptTokens the estimated tokens of the prompt
 * @param maximumOutputTokens the largest number of tokens of the answer
 * @param priority the priority
 * @param deadline when the answer must be complete
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
