package org.borageproxy.wire;

import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/**
 * Sends messages to VMs and dispatches received ones to handlers. Delivery is not guaranteed: a message may be lost,
 * delayed or, after a reconnection, delivered twice. Implementations are thread safe.
 */
public interface VmNetwork {

    /**
     * Sends a one-way message. A message to an unreachable VM is dropped silently.
     *
     * @param recipient the VM to which the message is sent, possibly this one
     * @param kind the kind of the message
     * @param body the encoded message
     */
    void send(VmName recipient, MessageKind kind, ByteString body);

    /**
     * Sends a request without blocking.
     *
     * @param recipient the VM to which the message is sent, possibly this one
     * @param kind the kind of the message
     * @param body the encoded message
     * @param deadline the time after which the request fails
     * @return the encoded answer; fails with {@link UnreachableException} if a remote VM did not answer, or with the
     *     exception of the handler if the recipient is this VM
     */
    CompletionStage<ByteString> request(VmName recipient, MessageKind kind, ByteString body, Deadline deadline);

    /**
     * Registers the handler of a kind of message and replaces an earlier one.
     *
     * @param kind the kind of message
     * @param handler the handler
     */
    void registerHandler(MessageKind kind, Handler handler);

    /** Handles messages of one kind. Handlers run on a network thread and must not block. */
    @FunctionalInterface
    interface Handler {

        /**
         * Handles a message.
         *
         * @param sender the VM that sent the message
         * @param body the encoded message
         * @return the encoded answer; ignored for one-way messages
         */
        CompletionStage<ByteString> handle(VmName sender, ByteString body);
    }
}
