package org.borageproxy.log;

import java.util.Map;
import java.util.Set;
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

/** Connects the members of a test within the process; VMs can be isolated. */
final class InProcessNetwork implements AutoCloseable {

    private final Map<VmName, VmNetwork.Handler> handlers = new ConcurrentHashMap<>();

    private final Set<VmName> isolated = ConcurrentHashMap.newKeySet();

    private final ExecutorService delivery = Executors.newSingleThreadExecutor();

    VmNetwork networkOf(VmName self) {
        return new VmNetwork() {
            @Override
            public void send(VmName recipient, MessageKind kind, ByteString body) {
                delivery.execute(() -> deliver(self, recipient, body));
            }

            @Override
            public CompletionStage<ByteString> request(
                    VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
                return CompletableFuture.failedFuture(new UnreachableException("not used by the log"));
            }

            @Override
            public void registerHandler(MessageKind kind, Handler handler) {
                handlers.put(self, handler);
            }
        };
    }

    private void deliver(VmName sender, VmName recipient, ByteString body) {
        VmNetwork.Handler handler = handlers.get(recipient);
        if (handler != null && !isolated.contains(sender) && !isolated.contains(recipient)) {
            handler.handle(sender, body);
        }
    }

    void isolate(VmName name) {
        isolated.add(name);
    }

    void reconnect(VmName name) {
        isolated.remove(name);
    }

    @Override
    public void close() {
        delivery.shutdownNow();
    }
}
