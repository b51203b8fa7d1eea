package org.borageproxy.control;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.borageproxy.wire.proto.ControlProtocol.ControlSnapshot;
import org.borageproxy.wire.proto.ControlProtocol.RecordStreams;
import org.borageproxy.wire.proto.ControlProtocol.StreamRecord;

/**
 * Origins of resumable streams, which survive the loss of all VMs. A request with several origins keeps all of them.
 * The oldest records are evicted when they expire or the table is full. Guarded by the lock of {@link ControlState}.
 */
final class StreamTable {

    /** Retention of a record; exceeds the time in which callers resume a stream. */
    static final long RETENTION_MILLIS = 60_000;
    /** Maximum number of records; they take memory of every control VM and of each snapshot. */
    static final int MAX_RECORDS = 50_000;

    private final Map<Key, StreamRecord> records = new LinkedHashMap<>();
    /** Records by request; the values are the keys of {@link #records}. */
    private final Map<String, List<Key>> keys = new LinkedHashMap<>();

    private record Key(String request, String service, String softwareVersion) {
        private static Key of(StreamRecord stream) {
            return new Key(stream.getRequest(), stream.getService(), stream.getSoftwareVersion());
        }
    }

    /** Records streams; those that are known keep their expiry. */
    void record(RecordStreams command, long stateMillis) {
        for (StreamRecord stream : command.getStreamsList()) {
            add(stream.toBuilder()
                    .setExpiresAtMillis(stateMillis + RETENTION_MILLIS)
                    .build());
        }
        while (records.size() > MAX_RECORDS) {
            removeOldest();
        }
    }

    private void add(StreamRecord stream) {
        Key key = Key.of(stream);
        if (records.putIfAbsent(key, stream) == null) {
            keys.merge(stream.getRequest(), List.of(key), (former, added) -> concat(former, added));
        }
    }

    private static List<Key> concat(List<Key> former, List<Key> added) {
        return Stream.concat(former.stream(), added.stream()).toList();
    }

    /** Removes expired records. */
    void expire(long stateMillis) {
        while (!records.isEmpty() && records.values().iterator().next().getExpiresAtMillis() <= stateMillis) {
            removeOldest();
        }
    }

    /** Removes the oldest record, and all origins of its request, since the rest would seem unambiguous. */
    private void removeOldest() {
        Iterator<Key> oldest = records.keySet().iterator();
        keys.remove(oldest.next().request()).forEach(records::remove);
    }

    /** Returns the records of a request. */
    List<StreamRecord> find(String request) {
        return keys.getOrDefault(request, List.of()).stream().map(records::get).toList();
    }

    /** Adds the records to a snapshot. */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.addAllStreams(records.values());
    }

    /** Replaces the records with those of a snapshot. */
    void load(ControlSnapshot snapshot) {
        records.clear();
        keys.clear();
        snapshot.getStreamsList().forEach(this::add);
    }
}
