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

/** Network that delivers messages of a VM to itself directly to their handler and passes all others on. Thread safe. */
public final class LoopbackNetwork implements VmNetwork {

    private final VmName self;
    private final VmNetwork others;

    /** Handlers of this VM by kind of message. */
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
    public void registerHandler(MessageKind kind, Handler handler) {
        handlers.put(kind, handler);
        others.registerHandler(kind, handler);
    }

    private CompletionStage<ByteString> deliver(MessageKind kind, ByteString body) {
        Handler handler = handlers.get(kind);
        if (handler == null) {
            return CompletableFuture.failedFuture(new UnreachableException("This VM does not handle " + kind));
        }
        return handler.handle(self, body);
    }
}
