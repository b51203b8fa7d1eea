package org.borageproxy.execution;

import java.util.Optional;

import org.borageproxy.result.ResultCode;

/** Decides immediately before the first byte of an attempt whether it may be sent. Confined to one event loop. */
@FunctionalInterface
public interface SendGuard {

    /**
     * Checks that the request may be sent now and, if so, records that it may have run from here on.
     *
     * @return why it must not be sent, empty if it may
     */
    Optional<ResultCode> beforeSend();
}
