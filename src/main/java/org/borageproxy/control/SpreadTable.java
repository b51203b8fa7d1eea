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
 * The records that every VM holds, each with the version at which it changed last. Versions rise with every change, and
 * a removed record leaves a mark behind, so that the changes after a version are a range. Guarded by the lock of
 * {@link ControlState}.
 */
final class SpreadTable {

    /** The number of marks of removed records that are kept. */
    private static final int KEPT_REMOVALS = 4096;

    /** The records and marks by version. */
    private final TreeMap<Long, Item> byVersion = new TreeMap<>();

    /** The version of each record or mark by name. */
    private final Map<String, Long> versions = new HashMap<>();

    /** The versions of the marks of removed records. */
    private final TreeMap<Long, String> removals = new TreeMap<>();

    /** The version of the last change. */
    private long version;

    /** The version before which marks of removed records are missing. */
    private long removalsSince;

    /**
     * Returns the version of the last change.
     *
     * @return the version
     */
    long version() {
        return version;
    }

    /**
     * Returns a record.
     *
     * @param name the record's name
     * @return the record, or the mark of a removed one
     */
    Optional<Item> find(String name) {
        return Optional.ofNullable(versions.get(name)).map(byVersion::get);
    }

    /**
     * Sets a record.
     *
     * @param item the record; its version is ignored
     */
    void put(Item.Builder item) {
        version++;
        Long earlier = versions.put(item.getName(), version);
        if (earlier != null) {
            byVersion.remove(earlier);
            removals.remove(earlier);
        }
        byVersion.put(version, item.setVersion(version).build());
    }

    /**
     * Removes a record, if there is one.
     *
     * @param name the record's name
     */
    void remove(String name) {
        Long earlier = versions.get(name);
        if (earlier == null || removals.containsKey(earlier)) {
            return;
        }
        put(Item.newBuilder().setName(name).setRemoved(true));
        removals.put(version, name);
        while (removals.size() > KEPT_REMOVALS) {
            Map.Entry<Long, String> oldest = removals.pollFirstEntry();
            removalsSince = oldest.getKey();
            byVersion.remove(oldest.getKey());
            versions.remove(oldest.getValue());
        }
    }

    /**
     * Tells whether the changes after a version are all known.
     *
     * @param after the version
     * @return {@code false} if the whole state is needed instead
     */
    boolean reaches(long after) {
        return after > 0 && after >= removalsSince && after <= version;
    }

    /**
     * Returns the changes after a version.
     *
     * @param after the version
     * @return the records and marks in order of their versions
     */
    List<Item> changesAfter(long after) {
        return new ArrayList<>(byVersion.tailMap(after, false).values());
    }

    /**
     * Returns all records, without marks of removed ones.
     *
     * @return the records in order of their versions
     */
    List<Item> all() {
        return byVersion.values().stream().filter(item -> !item.getRemoved()).toList();
    }

    /**
     * Adds the table to a snapshot.
     *
     * @param snapshot the snapshot
     */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.setVersion(version).setRemovalsSince(removalsSince).addAllItems(byVersion.values());
    }

    /**
     * Replaces the table by that of a snapshot.
     *
     * @param snapshot the snapshot
     */
    void load(ControlSnapshot snapshot) {
        byVersion.clear();
        versions.clear();
        removals.clear();
        version = snapshot.getVersion();
        removalsSince = snapshot.getRemovalsSince();
        for (Item item : snapshot.getItemsList()) {
            byVersion.put(item.getVersion(), item);
            versions.put(item.getName(), item.getVersion());
            if (item.getRemoved()) {
                removals.put(item.getVersion(), item.getName());
            }
        }
    }
}
