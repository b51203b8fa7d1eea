package org.borageproxy.forward;

import java.util.Optional;
import java.util.OptionalLong;

import org.borageproxy.routing.EngineWork;

/**
 * What the head of a caller's request says, apart from method and address. Immutable and thread safe.
 *
 * @param requestIdentity the identity of the request; empty if it states none
 * @param apiKey the caller's key
 * @param timeoutMillis how long the caller waits, in milliseconds
 * @param work what a model engine is asked for; empty for requests to plain services
 * @param lastEventIdentity the last event of the stream that the caller holds
 */
public record RequestMetadata(
        String requestIdentity,
        Optional<String> apiKey,
        OptionalLong timeoutMillis,
        Optional<EngineWork> work,
        Optional<String> lastEventIdentity) {}
