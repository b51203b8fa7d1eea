package org.borageproxy.wire;

import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/**
 * Sends messages to other VMs and dispatches the ones that arrive. Delivery is not assured: a message may be lost,
 * delayed or, after a reconnection, arrive twice. Implementations are safe for use by any thread.
 */
public interface VmNetwork {

    /**
     * Sends a message without waiting for an answer; a message to an unreachable VM is dropped.
     *
     * @param recipient the VM that gets the message
     * @param kind the kind of the message
     * @param body the encoded message
     */
    void send(VmName recipient, MessageKind kind, ByteString body);

    /**
     * Sends a message and waits for its answer.
     *
     * @param recipient the VM that gets the message
     * @param kind the kind of the message
     * @param body the encoded message
     * @param deadline when to give up
     * @return the encoded answer, or a failure with {@link UnreachableException}
     */
    CompletionStage<ByteString> request(VmName recipient, MessageKind kind, ByteString body, Deadline deadline);

    /**
     * Registers the handler of a kind of message; the last registration holds.
     *
     * @param kind the kind of message
     * @param handler the handler
     */
    void handle(MessageKind kind, Handler handler);

    /** Answers messages of one kind. Handlers run on a network thread and must not block. */
    @FunctionalInterface
    interface Handler {

        /**
         * Handles a message.
         *
         * @param sender the VM that sent the message
         * @param body the encoded message
         * @return the encoded answer; empty for messages that need none
         */
        CompletionStage<ByteString> handle(VmName sender, ByteString body);
    }
}
