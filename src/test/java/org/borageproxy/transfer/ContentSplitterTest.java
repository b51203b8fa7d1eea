package org.borageproxy.transfer;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import com.google.protobuf.ByteString;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.borageproxy.wire.proto.ControlProtocol.Chunk;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the division of contents into chunks, and the form in which chunks are stored. */
class ContentSplitterTest {

    private static ByteString random(long seed, int size) {
        byte[] bytes = new byte[size];
        new Random(seed).nextBytes(bytes);
        return ByteString.copyFrom(bytes);
    }

    @Property(tries = 100, seed = "64")
    void chunksAreTheContentInBoundedPieces(
            @ForAll @IntRange(max = 300_000) int size, @ForAll @IntRange(max = 1_000) int seed) {
        ByteString content = random(seed, size);
        List<ByteString> chunks = ContentSplitter.split(content);
        assertEquals(content, ByteString.copyFrom(chunks));
        assertTrue(
                chunks.stream().allMatch(chunk -> !chunk.isEmpty() && chunk.size() <= ContentSplitter.MAXIMUM_BYTES));
    }

    /** Guards against a change near the begin of a content that gives all of its chunks other names. */
    @Property(tries = 100, seed = "64")
    void insertionChangesFewChunks(
            @ForAll @IntRange(max = 399_999) int position,
            @ForAll @IntRange(min = 1, max = 500) int inserted,
            @ForAll @IntRange(max = 1_000) int seed) {
        ByteString content = random(seed, 400_000);
        ByteString changed = content.substring(0, position)
                .concat(random(seed + 1, inserted))
                .concat(content.substring(position));
        Set<ByteString> before = new HashSet<>(ContentSplitter.split(content));
        long changedBytes = ContentSplitter.split(changed).stream()
                .filter(chunk -> !before.contains(chunk))
                .mapToLong(ByteString::size)
                .sum();
        assertTrue(changedBytes <= 4L * ContentSplitter.MAXIMUM_BYTES, changedBytes + " bytes");
    }

    @Test
    void storedChunksAreCompressedAndFoundUntilOthersDisplaceThem() {
        ByteString text = ByteString.copyFromUtf8("route ".repeat(10_000));
        ChunkStore store = new ChunkStore(100_050);
        Manifest manifest = store.add(text);
        Chunk first = store.find(manifest.names().get(0)).orElseThrow();
        assertTrue(first.getContent().size() < manifest.sizes().get(0) / 10);
        assertEquals(manifest.names().get(0), ChunkName.of(ChunkStore.inflate(first)));
        store.add(random(1, 100_000));
        assertTrue(store.find(manifest.names().get(0)).isEmpty());
    }

    @Test
    void malformedChunksAreRejected() {
        ByteString content = ByteString.copyFromUtf8("no deflated content");
        for (int size : new int[] {-1, 5, ContentSplitter.MAXIMUM_BYTES + 1}) {
            Chunk chunk =
                    Chunk.newBuilder().setContent(content).setInflatedSize(size).build();
            assertThrows(IllegalArgumentException.class, () -> ChunkStore.inflate(chunk));
        }
        assertThrows(IllegalArgumentException.class, () -> new Manifest(List.of(), List.of(1)));
        assertThrows(IllegalArgumentException.class, () -> Manifest.decodeNames(content));
    }
}
