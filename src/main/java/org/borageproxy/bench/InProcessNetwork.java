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
 * Connects the members of a control group within one process, so that benchmarks include the log and the disk but no
 * sockets. Carries one-way messages only, delivered in order by one thread. Each VM has a single handler, which
 * receives messages of every kind. Safe for use by any thread.
 */
final class InProcessNetwork implements AutoCloseable {

    /** The handlers of the reachable VMs. */
    private final Map<VmName, VmNetwork.Handler> handlers = new ConcurrentHashMap<>();

    private final ExecutorService delivery = Executors.newSingleThreadExecutor();

    /** Returns the endpoint of a VM, which can send and receive once it has registered a handler. */
    VmNetwork endpoint(VmName self) {
        return new Endpoint(self);
    }

    /** Disconnects a VM: messages to and from it are dropped, including those not yet delivered. */
    void disconnect(VmName name) {
        handlers.remove(name);
    }

    @Override
    public void close() {
        delivery.shutdownNow();
    }

    /** The network endpoint of one VM. Safe for use by any thread. */
    private final class Endpoint implements VmNetwork {

        private final VmName self;

        private Endpoint(VmName self) {
            this.self = self;
        }

        @Override
        public void send(VmName recipient, MessageKind kind, ByteString body) {
            if (!delivery.isShutdown()) {
                delivery.execute(() -> deliver(recipient, body));
            }
        }

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
                    new UnreachableException("The in-process network carries one-way messages only"));
        }

        @Override
        public void registerHandler(MessageKind kind, Handler handler) {
            handlers.put(self, handler);
        }
    }
}
