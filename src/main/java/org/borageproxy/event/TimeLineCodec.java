package org.borageproxy.event;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.EventProtocol;

/** Encodes time line entries as protobuf messages and decodes them. Stateless and thread safe. */
public final class TimeLineCodec {

    private TimeLineCodec() {}

    /**
     * Encodes entries in the given order.
     *
     * @param entries the entries
     * @return the answer to a time line query
     */
    public static EventProtocol.TimeLineAnswer encode(List<TimeLineEntry> entries) {
        EventProtocol.TimeLineAnswer.Builder answer = EventProtocol.TimeLineAnswer.newBuilder();
        entries.forEach(entry -> answer.addEntries(encode(entry)));
        return answer.build();
    }

    /**
     * Decodes the answer to a time line query.
     *
     * @param answer the answer
     * @return the entries in the order of the answer
     */
    public static List<TimeLineEntry> decode(EventProtocol.TimeLineAnswer answer) {
        return answer.getEntriesList().stream().map(TimeLineCodec::decode).toList();
    }

    private static EventProtocol.Entry encode(TimeLineEntry entry) {
        EventProtocol.Entry.Builder encoded = EventProtocol.Entry.newBuilder()
                .setClockMillis(entry.timestamp().millis())
                .setClockCounter(entry.timestamp().counter())
                .setVm(entry.vm().value())
                .setName(entry.event().name());
        entry.event()
                .fields()
                .forEach((name, value) -> encoded.addFields(
                        EventProtocol.Field.newBuilder().setName(name).setValue(value)));
        return encoded.build();
    }

    private static TimeLineEntry decode(EventProtocol.Entry entry) {
        Map<String, String> fields = new LinkedHashMap<>();
        entry.getFieldsList().forEach(field -> fields.put(field.getName(), field.getValue()));
        HybridTimestamp timestamp = new HybridTimestamp(entry.getClockMillis(), entry.getClockCounter());
        return new TimeLineEntry(timestamp, new VmName(entry.getVm()), new Event(entry.getName(), fields));
    }
}
