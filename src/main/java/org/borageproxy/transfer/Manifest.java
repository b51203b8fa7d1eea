package org.borageproxy.transfer;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
import org.borageproxy.wire.proto.ControlProtocol.ChunkList;

/**
 * The chunks of a content in order. Immutable and thread safe.
 *
 * @param names the names of the chunks
 * @param sizes the sizes of the chunks in bytes, as many as there are names
 */
public record Manifest(List<ChunkName> names, List<Integer> sizes) {

    /** Maximum size of a content, which bounds the memory that another VM can make this one use. */
    private static final long MAXIMUM_CONTENT_BYTES = 16L << 20;

    /** Validates the sizes. */
    public Manifest {
        names = List.copyOf(names);
        sizes = List.copyOf(sizes);
        boolean isValid = names.size() == sizes.size()
                && sizes.stream().allMatch(size -> size > 0 && size <= ContentSplitter.MAXIMUM_BYTES)
                && sizes.stream().mapToLong(Integer::longValue).sum() <= MAXIMUM_CONTENT_BYTES;
        if (!isValid) {
            throw new IllegalArgumentException("invalid sizes of " + names.size() + " chunks");
        }
    }

    /**
     * Decodes a manifest.
     *
     * @param encoded the message
     * @return the manifest
     * @throws IllegalArgumentException if the message is malformed
     */
    public static Manifest decode(ChunkList encoded) {
        return new Manifest(decodeNames(encoded.getNames()), encoded.getSizesList());
    }

    /**
     * Decodes names that are written one after the other.
     *
     * @param encoded the bytes of the names
     * @return the names
     * @throws IllegalArgumentException if the last one is incomplete
     */
    public static List<ChunkName> decodeNames(ByteString encoded) {
        List<ChunkName> names = new ArrayList<>();
        for (int start = 0; start < encoded.size(); start += ChunkName.BYTES) {
            names.add(new ChunkName(encoded.substring(start, Math.min(encoded.size(), start + ChunkName.BYTES))));
        }
        return names;
    }

    /**
     * Encodes names one after the other.
     *
     * @param names the names
     * @return the bytes of the names
     */
    static ByteString encodeNames(List<ChunkName> names) {
        return ByteString.copyFrom(names.stream().map(ChunkName::value).toList());
    }

    /**
     * Encodes this manifest.
     *
     * @return the message
     */
    public ChunkList encode() {
        return ChunkList.newBuilder()
                .setNames(encodeNames(names))
                .addAllSizes(sizes)
                .build();
    }

    /**
     * Returns the size of the chunks that are missing.
     *
     * @param held the names of the chunks that need not be sent
     * @return the bytes
     */
    public long missingBytes(Set<ChunkName> held) {
        return IntStream.range(0, names.size())
                .filter(index -> !held.contains(names.get(index)))
                .mapToLong(sizes::get)
                .sum();
    }
}
