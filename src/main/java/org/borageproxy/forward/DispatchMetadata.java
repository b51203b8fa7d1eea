package org.borageproxy.forward;

import java.util.Optional;
import java.util.OptionalInt;

import org.borageproxy.membership.BackendServerName;

/**
 * Metadata that is added to a request when it is sent to a backend server. Immutable and thread safe.
 *
 * @param server the server that is to run the request; any other must refuse it
 * @param workspace the workspace of the caller's API key; empty without one
 * @param remainingMillis the time until the caller's deadline, in milliseconds, at least one
 * @param urgency the rank of the request in the server's queue, zero for the first; empty for plain services
 * @param lastEventIdentity the identity of the event after which the stream resumes; empty for a new stream
 */
public record DispatchMetadata(
        BackendServerName server,
        Optional<String> workspace,
        long remainingMillis,
        OptionalInt urgency,
        Optional<String> lastEventIdentity) {}
