package org.borageproxy.forward;

import java.util.Optional;
import java.util.OptionalInt;

import org.borageproxy.membership.BackendServerName;

/**
 * What is added to a request when it is sent to a backend server. Immutable and thread safe.
 *
 * @param server the server that is to run it; any other must refuse it
 * @param workspace the workspace whose key came with the request
 * @param remainingMillis the time left to the caller, in milliseconds
 * @param urgency the rank within the server, zero for the first
 * @param lastEventIdentity the event after which the answer goes on
 */
public record DispatchMetadata(
        BackendServerName server,
        Optional<String> workspace,
        long remainingMillis,
        OptionalInt urgency,
        Optional<String> lastEventIdentity) {}
