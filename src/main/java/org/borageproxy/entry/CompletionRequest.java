package org.borageproxy.entry;

import java.util.Optional;

/**
 * A parsed request for a completion. Immutable and thread safe.
 *
 * @param format the shape of the request and its answer
 * @param model the name of the model or adapter
 * @param prompt the prompt
 * @param maximumTokens the largest number of tokens that the caller asks for
 * @param stream whether the caller wants the answer as it is generated
 * @param includeUsage whether a stream ends with the usage
 */
record CompletionRequest(
        CompletionFormat format,
        String model,
        String prompt,
        Optional<Integer> maximumTokens,
        boolean stream,
        boolean includeUsage) {}
