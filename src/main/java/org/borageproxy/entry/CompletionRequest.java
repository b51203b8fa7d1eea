package org.borageproxy.entry;

import java.util.Optional;

/**
 * A parsed completion request. Immutable and thread safe.
 *
 * @param format the format of the request and its response
 * @param model the name of the model or adapter
 * @param prompt the prompt
 * @param maximumTokens the maximum number of output tokens requested by the caller, empty if not stated
 * @param stream whether the response is streamed
 * @param includeUsage whether a stream ends with the token counts
 */
record CompletionRequest(
        CompletionFormat format,
        String model,
        String prompt,
        Optional<Integer> maximumTokens,
        boolean stream,
        boolean includeUsage) {}
