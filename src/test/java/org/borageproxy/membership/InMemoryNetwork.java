package org.borageproxy.membership;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.protobuf.ByteString;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.UnreachableException;
import org.borageproxy.wire.VmNetwork;

/** Connects VMs in one process. Messages from or to an isolated VM fail. Thread safe. */
final class InMemoryNetwork {

    private final Map<VmName, Map<MessageKind, VmNetwork.Handler>> handlers = new ConcurrentHashMap<>();
    private final Map<VmName, Boolean> isolated = new ConcurrentHashMap<>();
    private final Map<VmName, Integer> receivedBytes = new ConcurrentHashMap<>();
    private final Map<VmName, Set<VmName>> senders = new ConcurrentHashMap<>();
    private final AtomicInteger largestAnswer = new AtomicInteger();

    VmNetwork at(VmName vm) {
        handlers.put(vm, new ConcurrentHashMap<>());
        return new VmNetwork() {

            @Override
            public void send(VmName recipient, MessageKind kind, ByteString body) {
                request(recipient, kind, body, null);
            }

            @Override
            public CompletionStage<ByteString> request(
                    VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
                Handler handler = handlers.getOrDefault(recipient, Map.of()).get(kind);
                if (handler == null || isolated.containsKey(vm) || isolated.containsKey(recipient)) {
                    return CompletableFuture.failedFuture(new UnreachableException("VM is isolated or has no handler"));
                }
                receivedBytes.merge(recipient, body.size(), Integer::sum);
                senders.computeIfAbsent(recipient, name -> ConcurrentHashMap.newKeySet())
                        .add(vm);
                return handler.handle(vm, body).thenApply(answer -> {
                    largestAnswer.accumulateAndGet(answer.size(), Math::max);
                    return answer;
                });
            }

            @Override
            public void registerHandler(MessageKind kind, Handler handler) {
                handlers.get(vm).put(kind, handler);
            }
        };
    }

    /** Returns the size of the largest answer to a request. */
    int largestAnswer() {
        return largestAnswer.get();
    }

    /** Returns the bytes of the messages and requests that a VM has received. */
    int receivedBytes(VmName vm) {
        return receivedBytes.getOrDefault(vm, 0);
    }

    /** Returns the VMs from which a VM has received a message or request. */
    Set<VmName> senders(VmName vm) {
        return senders.getOrDefault(vm, Set.of());
    }

    void isolate(VmName vm) {
        isolated.put(vm, true);
    }

    void reconnect(VmName vm) {
        isolated.remove(vm);
    }
}
