package org.borageproxy.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.borageproxy.wire.proto.ControlProtocol.ControlSnapshot;
import org.borageproxy.wire.proto.ControlProtocol.Item;

/**
 * Records that every VM watches, each with the version of its last change. Versions increase with every change, and a
 * removed record leaves a tombstone, so the changes after a version form a range. Guarded by the lock of
 * {@link ControlState}.
 */
final class WatchedRecords {

    /** Maximum number of retained tombstones. */
    private static final int MAX_TOMBSTONES = 4096;

    /** Records and tombstones by version. */
    private final TreeMap<Long, Item> byVersion = new TreeMap<>();

    /** Version of each record or tombstone, by name. */
    private final Map<String, Long> versions = new HashMap<>();

    /** Names of removed records by the version of their tombstone. */
    private final TreeMap<Long, String> tombstones = new TreeMap<>();

    /** Version of the last change. */
    private long version;

    /** Version of the latest evicted tombstone. Changes after an earlier version are incomplete. */
    private long evictedTombstoneVersion;

    /** Returns the version of the last change. */
    long version() {
        return version;
    }

    /** Returns a record, or the tombstone of a removed one. */
    Optional<Item> find(String name) {
        return Optional.ofNullable(versions.get(name)).map(byVersion::get);
    }

    /** Stores a record under a new version; the version of the argument is ignored. */
    void put(Item.Builder item) {
        version++;
        Long earlier = versions.put(item.getName(), version);
        if (earlier != null) {
            byVersion.remove(earlier);
            tombstones.remove(earlier);
        }
        byVersion.put(version, item.setVersion(version).build());
    }

    /** Replaces a record by a tombstone. Does nothing if the record does not exist. */
    void remove(String name) {
        Long earlier = versions.get(name);
        if (earlier == null || tombstones.containsKey(earlier)) {
            return;
        }
        put(Item.newBuilder().setName(name).setRemoved(true));
        tombstones.put(version, name);
        while (tombstones.size() > MAX_TOMBSTONES) {
            Map.Entry<Long, String> oldest = tombstones.pollFirstEntry();
            evictedTombstoneVersion = oldest.getKey();
            byVersion.remove(oldest.getKey());
            versions.remove(oldest.getValue());
        }
    }

    /**
     * Whether the changes after a version are complete. If not, the reader needs all records.
     *
     * @param completeSince a version whose records the reader has read from the oldest on, up to the other version
     */
    boolean isCompleteAfter(long after, long completeSince) {
        return after > 0 && Math.max(after, completeSince) >= evictedTombstoneVersion && after <= version;
    }

    /** Returns the records and tombstones after a version, in order of their versions. */
    List<Item> changesAfter(long after) {
        return new ArrayList<>(byVersion.tailMap(after, false).values());
    }

    /** Returns all records without tombstones, in order of their versions. */
    List<Item> all() {
        return byVersion.values().stream().filter(item -> !item.getRemoved()).toList();
    }

    /** Adds the table to a snapshot. */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.setVersion(version).setRemovalsSince(evictedTombstoneVersion).addAllItems(byVersion.values());
    }

    /** Replaces the table with the content of a snapshot. */
    void load(ControlSnapshot snapshot) {
        byVersion.clear();
        versions.clear();
        tombstones.clear();
        version = snapshot.getVersion();
        evictedTombstoneVersion = snapshot.getRemovalsSince();
        for (Item item : snapshot.getItemsList()) {
            byVersion.put(item.getVersion(), item);
            versions.put(item.getName(), item.getVersion());
            if (item.getRemoved()) {
                tombstones.put(item.getVersion(), item.getName());
            }
        }
    }
}
