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

/** Dispatches messages to the handlers registered for their kinds. Thread safe. */
final class MessageHandlers {

    private static final Logger LOGGER = LoggerFactory.getLogger(MessageHandlers.class);

    private final Map<Integer, VmNetwork.Handler> handlersByKind = new ConcurrentHashMap<>();

    /**
     * Registers the handler of a kind and replaces an earlier one.
     *
     * @param kind the kind of message
     * @param handler the handler
     */
    void register(MessageKind kind, VmNetwork.Handler handler) {
        handlersByKind.put(kind.number(), handler);
    }

    /**
     * Dispatches the message of a frame.
     *
     * @param sender the VM that sent the message
     * @param frame the frame with the message
     * @return the encoded answer; a failure if no handler is registered or the handler fails
     */
    CompletionStage<ByteString> dispatch(VmName sender, Frame frame) {
        return dispatch(sender, frame.getKind(), frame.getBody());
    }

    /**
     * Dispatches a message. An exception of the handler is logged and returned as a failure.
     *
     * @param sender the VM that sent the message
     * @param kind the number of the message kind
     * @param body the encoded message
     * @return the encoded answer; a failure if no handler is registered or the handler fails
     */
    CompletionStage<ByteString> dispatch(VmName sender, int kind, ByteString body) {
        VmNetwork.Handler handler = handlersByKind.get(kind);
        if (handler == null) {
            return CompletableFuture.failedFuture(
                    new UnreachableException("No handler is registered for message kind " + kind));
        }
        try {
            return handler.handle(sender, body);
        } catch (RuntimeException exception) {
            LOGGER.error("event=handler-failed kind={} sender={}", kind, sender, exception);
            return CompletableFuture.failedFuture(exception);
        }
    }
}
