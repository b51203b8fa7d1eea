package org.borageproxy.spread;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.borageproxy.transfer.ChunkName;
import org.borageproxy.transfer.ChunkStore;
import org.borageproxy.transfer.Manifest;
import org.borageproxy.wire.proto.ControlProtocol.Chunk;
import org.borageproxy.wire.proto.ControlProtocol.Item;
import org.borageproxy.wire.proto.ControlProtocol.WatchAnswer;

/**
 * Large values and answers of a control VM, which others fetch in chunks. The chunks of the present records are always
 * found; those of earlier ones and of answers until others displace them. Thread safe.
 */
final class LargeValues {

    /** Size from which a value or an answer is named by its chunks. */
    private static final int LARGE_BYTES = 8 << 10;

    /** Three of the largest documents that operators may publish, if they cannot be compressed. */
    private static final long MAXIMUM_STORED_BYTES = 12L << 20;

    private final ChunkStore store = new ChunkStore(MAXIMUM_STORED_BYTES);

    /** Records that name the chunks of their latest value, by name. */
    private final Map<String, Named> namedRecords = new ConcurrentHashMap<>();

    private record Named(Item reference, Manifest manifest) {}

    /** Returns a record, or one with the same name and version that names the chunks of a large value. */
    Item abridge(Item item) {
        return isLarge(item) ? named(item).reference() : item;
    }

    /** Returns an answer, or one that names the chunks of a large one. */
    WatchAnswer abridge(WatchAnswer answer) {
        if (answer.getSerializedSize() <= LARGE_BYTES) {
            return answer;
        }
        Manifest manifest = store.add(answer.toByteString());
        return WatchAnswer.newBuilder()
                .setConfirmed(answer.getConfirmed())
                .setRevision(answer.getRevision())
                .setAnswerChunks(manifest.encode())
                .build();
    }

    /**
     * Returns a chunk. If it is not stored, those of the present records are stored first, unless they are.
     *
     * @param name the name of the chunk
     * @param records supplies the present records
     * @return the chunk, empty if it belongs to no present record and is not stored any more
     */
    Optional<Chunk> find(ChunkName name, Supplier<List<Item>> records) {
        Optional<Chunk> stored = store.find(name);
        if (stored.isPresent()) {
            return stored;
        }
        for (Item item : records.get()) {
            if (isLarge(item) && named(item).manifest().names().contains(name)) {
                store.add(item.toByteString());
            }
        }
        return store.find(name);
    }

    private static boolean isLarge(Item item) {
        return item.getSerializedSize() > LARGE_BYTES;
    }

    private Named named(Item item) {
        return namedRecords.compute(
                item.getName(),
                (name, known) ->
                        known != null && known.reference().getVersion() == item.getVersion() ? known : name(item));
    }

    private Named name(Item item) {
        Manifest manifest = store.add(item.toByteString());
        Item reference = Item.newBuilder()
                .setName(item.getName())
                .setVersion(item.getVersion())
                .setChunks(manifest.encode())
                .build();
        return new Named(reference, manifest);
    }
}
