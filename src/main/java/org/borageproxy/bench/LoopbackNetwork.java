package org.borageproxy.bench;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.google.protobuf.ByteString;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.UnreachableException;
import org.borageproxy.wire.VmNetwork;

/**
 * Connects members of a control group within one process, so that a measure holds the log and the disk but no sockets.
 * Carries one-way messages only. Safe for use by any thread.
 */
final class LoopbackNetwork implements AutoCloseable {

    /** The handlers of the reachable VMs. */
    private final Map<VmName, VmNetwork.Handler> handlers = new ConcurrentHashMap<>();

    /** Delivers the messages in order. */
    private final ExecutorService delivery = Executors.newSingleThreadExecutor();

    /**
     * Returns the network as a VM sees it.
     *
     * @param self the VM
     * @return its network
     */
    VmNetwork of(VmName self) {
        return new Endpoint(self);
    }

    /**
     * Cuts a VM off for good.
     *
     * @param name the VM
     */
    void disconnect(VmName name) {
        handlers.remove(name);
    }

    @Override
    public void close() {
        delivery.shutdownNow();
    }

    /** The network as one VM sees it. Safe for use by any thread. */
    private final class Endpoint implements VmNetwork {

        /** The VM. */
        private final VmName self;

        /**
         * Creates an endpoint.
         *
         * @param self the VM
         */
        private Endpoint(VmName self) {
            this.self = self;
        }

        @Override
        public void send(VmName recipient, MessageKind kind, ByteString body) {
            if (!delivery.isShutdown()) {
                delivery.execute(() -> deliver(recipient, body));
            }
        }

        /**
         * Delivers a message if both VMs are reachable.
         *
         * @param recipient the VM that gets the message
         * @param body the encoded message
         */
        private void deliver(VmName recipient, ByteString body) {
            Handler handler = handlers.get(recipient);
            if (handler != null && handlers.containsKey(self)) {
                handler.handle(self, body);
            }
        }

        @Override
        public CompletionStage<ByteString> request(
                VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
            return CompletableFuture.failedFuture(
                    new UnreachableException("The loopback carries one-way messages only"));
        }

        @Override
        public void handle(MessageKind kind, Handler handler) {
            handlers.put(self, handler);
        }
    }
}
