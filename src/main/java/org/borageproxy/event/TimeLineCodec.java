package org.borageproxy.event;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.EventProtocol;

/** Translates time line entries to and from their encoded form. Stateless and thread safe. */
public final class TimeLineCodec {

    /** Not instantiated. */
    private TimeLineCodec() {}

    /**
     * Encodes entries.
     *
     * @param entries the entries
     * @return the encoded answer
     */
    public static EventProtocol.TimeLineAnswer encode(List<TimeLineEntry> entries) {
        EventProtocol.TimeLineAnswer.Builder answer = EventProtocol.TimeLineAnswer.newBuilder();
        entries.forEach(entry -> answer.addEntries(encode(entry)));
        return answer.build();
    }

    /**
     * Decodes entries.
     *
     * @param answer the encoded answer
     * @return the entries
     */
    public static List<TimeLineEntry> decode(EventProtocol.TimeLineAnswer answer) {
        return answer.getEntriesList().stream().map(TimeLineCodec::decode).toList();
    }

    /**
     * Encodes one entry.
     *
     * @param entry the entry
     * @return the encoded entry
     */
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

    /**
     * Decodes one entry.
     *
     * @param entry the encoded entry
     * @return the entry
     */
    private static TimeLineEntry decode(EventProtocol.Entry entry) {
        Map<String, String> fields = new LinkedHashMap<>();
        entry.getFieldsList().forEach(field -> fields.put(field.getName(), field.getValue()));
        HybridTimestamp timestamp = new HybridTimestamp(entry.getClockMillis(), entry.getClockCounter());
        return new TimeLineEntry(timestamp, new VmName(entry.getVm()), new Event(entry.getName(), fields));
    }
}
