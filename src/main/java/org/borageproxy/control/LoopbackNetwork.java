package org.borageproxy.control;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import com.google.protobuf.ByteString;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.UnreachableException;
import org.borageproxy.wire.VmNetwork;

/** A network that hands messages from this VM to itself directly to their handler. Safe for use by any thread. */
public final class LoopbackNetwork implements VmNetwork {

    /** The name of this VM. */
    private final VmName self;

    /** The network to the other VMs. */
    private final VmNetwork others;

    /** The handlers of this VM. */
    private final Map<MessageKind, Handler> handlers = new ConcurrentHashMap<>();

    /**
     * Creates a network.
     *
     * @param self the name of this VM
     * @param others the network to the other VMs
     */
    public LoopbackNetwork(VmName self, VmNetwork others) {
        this.self = self;
        this.others = others;
    }

    @Override
    public void send(VmName recipient, MessageKind kind, ByteString body) {
        if (recipient.equals(self)) {
            deliver(kind, body);
        } else {
            others.send(recipient, kind, body);
        }
    }

    @Override
    public CompletionStage<ByteString> request(VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
        return recipient.equals(self) ? deliver(kind, body) : others.request(recipient, kind, body, deadline);
    }

    @Override
    public void handle(MessageKind kind, Handler handler) {
        handlers.put(kind, handler);
        others.handle(kind, handler);
    }

    /**
     * Hands a message to its handler.
     *
     * @param kind the kind of the message
     * @param body the encoded message
     * @return the encoded answer
     */
    private CompletionStage<ByteString> deliver(MessageKind kind, ByteString body) {
        Handler handler = handlers.get(kind);
        if (handler == null) {
            return CompletableFuture.failedFuture(new UnreachableException("This VM does not handle " + kind));
        }
        return handler.handle(self, body);
    }
}
