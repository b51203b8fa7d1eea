package org.borageproxy.transfer;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import com.google.protobuf.ByteString;
import org.borageproxy.wire.proto.ControlProtocol.Chunk;

/**
 * Compressed chunks of the contents that a VM offers to others. Beyond the bound the chunks that were used least
 * recently are dropped. Thread safe.
 */
public final class ChunkStore {

    private final long maximumBytes;

    /** Chunks by name, least recently used first. */
    private final Map<ChunkName, Chunk> chunks = new LinkedHashMap<>(16, 0.75f, true);

    private long storedBytes;

    /**
     * Creates an empty store.
     *
     * @param maximumBytes the maximum size of the compressed chunks
     */
    public ChunkStore(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Splits a content and stores its chunks. All of them are found until other contents displace them, if together
     * they do not exceed the bound.
     *
     * @param content the content
     * @return the chunks
     */
    public synchronized Manifest add(ByteString content) {
        List<ChunkName> names = new ArrayList<>();
        List<Integer> sizes = new ArrayList<>();
        for (ByteString part : ContentSplitter.split(content)) {
            ChunkName name = ChunkName.of(part);
            names.add(name);
            sizes.add(part.size());
            if (chunks.get(name) == null) {
                Chunk chunk = deflate(part);
                chunks.put(name, chunk);
                storedBytes += chunk.getContent().size();
            }
        }
        Iterator<Map.Entry<ChunkName, Chunk>> oldest = chunks.entrySet().iterator();
        while (storedBytes > maximumBytes && oldest.hasNext()) {
            storedBytes -= oldest.next().getValue().getContent().size();
            oldest.remove();
        }
        return new Manifest(names, sizes);
    }

    /**
     * Returns a chunk.
     *
     * @param name the name
     * @return the chunk, empty if it is not stored
     */
    public synchronized Optional<Chunk> find(ChunkName name) {
        return Optional.ofNullable(chunks.get(name));
    }

    /** Compresses a content, unless that saves nothing. */
    private static Chunk deflate(ByteString content) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
        try {
            deflater.setInput(content.toByteArray());
            deflater.finish();
            byte[] compressed = new byte[content.size()];
            int size = deflater.deflate(compressed);
            return deflater.finished()
                    ? Chunk.newBuilder()
                            .setContent(ByteString.copyFrom(compressed, 0, size))
                            .setInflatedSize(content.size())
                            .build()
                    : Chunk.newBuilder()
                            .setContent(ByteString.copyFrom(content.toByteArray()))
                            .build();
        } finally {
            deflater.end();
        }
    }

    /**
     * Returns the content of a chunk.
     *
     * @param chunk the chunk as stored and sent
     * @return the content
     * @throws IllegalArgumentException if the chunk is malformed
     */
    static ByteString inflate(Chunk chunk) {
        if (chunk.getInflatedSize() == 0) {
            return chunk.getContent();
        }
        if (chunk.getInflatedSize() < 0 || chunk.getInflatedSize() > ContentSplitter.MAXIMUM_BYTES) {
            throw new IllegalArgumentException("a chunk of " + chunk.getInflatedSize() + " bytes");
        }
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(chunk.getContent().toByteArray());
            byte[] content = new byte[chunk.getInflatedSize()];
            int size = inflater.inflate(content);
            if (size != content.length) {
                throw new IllegalArgumentException("a chunk that ends after " + size + " bytes");
            }
            return ByteString.copyFrom(content);
        } catch (DataFormatException exception) {
            throw new IllegalArgumentException("a chunk that cannot be inflated", exception);
        } finally {
            inflater.end();
        }
    }
}
