package org.borageproxy.spread;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import org.borageproxy.transfer.ChunkFetch;
import org.borageproxy.transfer.ChunkName;
import org.borageproxy.transfer.Manifest;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.ControlProtocol.Item;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fetches the values of records that answers have named by their chunks, one value of each record at a time. A newer
 * value replaces the one on its way only if no more bytes are missing for it, so that a series of changes cannot keep
 * all of them away. The chunks of the last value are kept, so that only those that changed are fetched. Not thread
 * safe; guarded by the lock of its owner, which the values are given to without it.
 */
final class StateTransfers {

    private static final Logger LOGGER = LoggerFactory.getLogger(StateTransfers.class);

    private final ChunkFetch.Environment environment;
    private final Listener listener;
    private final Map<String, Transfer> transfers = new HashMap<>();

    /** Chunks of the last value of each record that came in chunks, and of what has arrived of another one since. */
    private final Map<String, Map<ChunkName, ByteString>> keptChunks = new HashMap<>();

    /** Receives the values. */
    interface Listener {

        /** Takes a value that has arrived. */
        void onValue(Transfer transfer, Item value);

        /** Is told that no control VM has a value; it has been replaced, or other builds divide it otherwise. */
        void onUnavailable(Transfer transfer);
    }

    /**
     * A value on its way.
     *
     * @param reference the record with the chunks of the value
     * @param source the control VM that named them
     * @param requestMillis the time from the request to the answer that named them, in milliseconds
     * @param beganAtNanos the time of that answer
     * @param fetch the fetch
     */
    record Transfer(Item reference, VmName source, long requestMillis, long beganAtNanos, ChunkFetch fetch) {

        String name() {
            return reference.getName();
        }

        long millisSince(long nowNanos) {
            return TimeUnit.NANOSECONDS.toMillis(nowNanos - beganAtNanos);
        }
    }

    StateTransfers(ChunkFetch.Environment environment, Listener listener) {
        this.environment = environment;
        this.listener = listener;
    }

    /**
     * Begins the transfers of the values that are missing, unless an older value of the record is nearer to its end.
     *
     * @param missing the records by name
     * @param source the control VM that named the chunks
     * @param requestMillis the time that its answer took, in milliseconds
     */
    void fetch(Map<String, Item> missing, VmName source, long requestMillis) {
        missing.values().forEach(reference -> {
            try {
                fetch(reference, source, requestMillis);
            } catch (IllegalArgumentException exception) {
                LOGGER.error("event=chunks-malformed record={} source={}", reference.getName(), source, exception);
            }
        });
    }

    private void fetch(Item reference, VmName source, long requestMillis) {
        Manifest manifest = Manifest.decode(reference.getChunks());
        Map<ChunkName, ByteString> held = new HashMap<>(keptChunks.getOrDefault(reference.getName(), Map.of()));
        Transfer current = transfers.get(reference.getName());
        if (current != null) {
            held.putAll(current.fetch().held());
            if (current.reference().getVersion() == reference.getVersion()) {
                return;
            }
            if (manifest.missingBytes(held.keySet()) > current.fetch().missingBytes()) {
                current.fetch().markReplaced();
                return;
            }
            current.fetch().cancel();
        }
        Receiver receiver = new Receiver();
        ChunkFetch fetch = new ChunkFetch(manifest, held, environment, receiver);
        Transfer transfer = new Transfer(
                reference, source, requestMillis, environment.clock().nanoTime(), fetch);
        receiver.transfer = transfer;
        transfers.put(reference.getName(), transfer);
        environment.timer().schedule(Duration.ZERO, fetch::start);
    }

    /** Forgets a transfer that has ended. Its chunks are kept, instead of those before if they are a whole value. */
    void end(Transfer transfer, boolean isComplete) {
        transfers.remove(transfer.name(), transfer);
        Map<ChunkName, ByteString> kept =
                new HashMap<>(isComplete ? Map.of() : keptChunks.getOrDefault(transfer.name(), Map.of()));
        kept.putAll(transfer.fetch().held());
        keptChunks.put(transfer.name(), kept);
    }

    /** Returns whether a transfer is the present one of its record. */
    boolean isPresent(Transfer transfer) {
        return transfers.get(transfer.name()) == transfer;
    }

    /** Describes the missing records and the bytes that they lack, for the log. */
    String describe(Map<String, Item> missing) {
        StringBuilder text = new StringBuilder();
        missing.forEach((name, reference) -> text.append(text.isEmpty() ? "" : ",")
                .append(name)
                .append('@')
                .append(reference.getVersion())
                .append(Optional.ofNullable(transfers.get(name))
                        .map(transfer -> ":" + transfer.fetch().missingBytes())
                        .orElse("")));
        return text.isEmpty() ? "-" : text.toString();
    }

    /** Decodes the value and passes it on. */
    private final class Receiver implements ChunkFetch.Listener {

        private Transfer transfer;

        @Override
        public void onComplete(ByteString content) {
            try {
                CodedInputStream input = content.newCodedInput();
                input.enableAliasing(true);
                listener.onValue(transfer, Item.parseFrom(input));
            } catch (IOException exception) {
                LOGGER.error("event=chunks-malformed record={}", transfer.name(), exception);
                listener.onUnavailable(transfer);
            }
        }

        @Override
        public void onUnavailable() {
            listener.onUnavailable(transfer);
        }
    }
}
