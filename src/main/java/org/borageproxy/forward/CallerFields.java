package org.borageproxy.forward;

import java.util.Optional;
import java.util.OptionalLong;

import org.borageproxy.routing.EngineWork;

/**
 * What the head of a caller's request says, apart from method and address. Immutable and thread safe.
 *
 * @param identity the identity of the request; empty if it states none
 * @param key the caller's key
 * @param waitMillis how long the caller waits, in milliseconds
 * @param work what a model engine is asked for; empty for requests to plain services
 * @param lastEvent the last event of the stream that the caller holds
 */
public record CallerFields(
        String identity,
        Optional<String> key,
        OptionalLong waitMillis,
        Optional<EngineWork> work,
        Optional<String> lastEvent) {}
