package org.borageproxy.forward;

import java.util.Optional;
import java.util.OptionalLong;

import org.borageproxy.routing.EngineWork;

/**
 * Header fields of a caller's request that concern forwarding. Immutable and thread safe.
 *
 * @param requestIdentity the identity of the request; an empty string if none is stated
 * @param apiKey the caller's API key
 * @param timeoutMillis the time for which the caller waits for an answer, in milliseconds; empty if none is stated
 * @param work the inference work; empty for requests to plain services
 * @param lastEventIdentity the identity of the last stream event that the caller received; empty for a new stream
 * @param resumedRequest the identity of the request whose answer began the stream that this one resumes; empty if none
 *     is stated
 */
public record RequestMetadata(
        String requestIdentity,
        Optional<String> apiKey,
        OptionalLong timeoutMillis,
        Optional<EngineWork> work,
        Optional<String> lastEventIdentity,
        Optional<String> resumedRequest) {}
