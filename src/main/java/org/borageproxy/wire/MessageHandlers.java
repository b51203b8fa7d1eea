package org.borageproxy.wire;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import com.google.protobuf.ByteString;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.FrameProtocol.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The handlers of messages by kind. Safe for use by any thread. */
final class MessageHandlers {

    /** The log of failed handlers. */
    private static final Logger LOGGER = LoggerFactory.getLogger(MessageHandlers.class);

    /** The handlers by the number of their kind. */
    private final Map<Integer, VmNetwork.Handler> handlersByKind = new ConcurrentHashMap<>();

    /**
     * Registers a handler in place of an earlier one of the kind.
     *
     * @param kind the kind of message
     * @param handler the handler
     */
    void register(MessageKind kind, VmNetwork.Handler handler) {
        handlersByKind.put(kind.number(), handler);
    }

    /**
     * Hands a message to its handler.
     *
     * @param sender the VM that sent the message
     * @param frame the message's frame
     * @return the encoded answer, or a failure if there is no handler or the handler failed
     */
    CompletionStage<ByteString> dispatch(VmName sender, Frame frame) {
        return dispatch(sender, frame.getKind(), frame.getBody());
    }

    /**
     * Hands a message to its handler.
     *
     * @param sender the VM that sent the message
     * @param kind the number of the message's kind
     * @param body the encoded message
     * @return the encoded answer, or a failure if there is no handler or the handler failed
     */
    CompletionStage<ByteString> dispatch(VmName sender, int kind, ByteString body) {
        VmNetwork.Handler handler = handlersByKind.get(kind);
        if (handler == null) {
            return CompletableFuture.failedFuture(new UnreachableException("No handler of kind " + kind));
        }
        try {
            return handler.handle(sender, body);
        } catch (RuntimeException exception) {
            LOGGER.error("event=handler-failed kind={} sender={}", kind, sender, exception);
            return CompletableFuture.failedFuture(exception);
        }
    }
}
