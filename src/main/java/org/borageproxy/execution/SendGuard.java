package org.borageproxy.execution;

import java.util.Optional;

import org.borageproxy.result.ResultCode;

/** Checks immediately before the first byte of an attempt whether it may be sent. Confined to one event loop. */
@FunctionalInterface
public interface SendGuard {

    /**
     * Checks whether the request may be sent now and, if so, records that it may run from here on.
     *
     * @return the reason for the refusal, empty if the request may be sent
     */
    Optional<ResultCode> beforeSend();
}
