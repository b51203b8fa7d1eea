package org.borageproxy.control;

import java.util.List;

import com.google.protobuf.ByteString;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.RecordStreams;
import org.borageproxy.wire.proto.ControlProtocol.StreamRecord;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the records of resumable streams in {@link ControlState}. */
class StreamTableTest {

    private static final long START = 1_700_000_000_000L;

    private final ControlState state = new ControlState();

    private void record(long nowMillis, String request, String softwareVersion) {
        RecordStreams streams = RecordStreams.newBuilder()
                .addStreams(StreamRecord.newBuilder()
                        .setRequest(request)
                        .setService("s")
                        .setSoftwareVersion(softwareVersion))
                .build();
        state.apply(
                1,
                nowMillis,
                Command.newBuilder().setRecordStreams(streams).build().toByteString());
    }

    private static List<String> versions(ControlState state, String request) {
        return state.streams(request).stream()
                .map(StreamRecord::getSoftwareVersion)
                .toList();
    }

    /** Guards against a stream that is resumed at the version of another one with the same identity. */
    @Test
    void allOriginsOfARequestAreKept() {
        record(START, "a", "v1");
        record(START, "a", "v2");
        record(START, "a", "v1");
        assertEquals(List.of("v1", "v2"), versions(state, "a"));
        assertEquals(List.of(), versions(state, "b"));
    }

    /** Guards against a request whose first origin has expired, so that its second one seems to be the only one. */
    @Test
    void originsOfARequestExpireTogether() {
        record(START, "a", "v1");
        record(START + 1_000, "a", "v2");
        record(START + StreamTable.RETENTION_MILLIS, "b", "v1");
        assertEquals(List.of(), versions(state, "a"));
        assertEquals(List.of("v1"), versions(state, "b"));
    }

    /** Guards against streams that no VM can resume after a member was restored from a snapshot. */
    @Test
    void snapshotKeepsOriginsAndTheirExpiry() {
        record(START, "a", "v1");
        record(START, "a", "v2");
        ControlState restored = new ControlState();
        restored.restore(state.snapshot());
        assertEquals(List.of("v1", "v2"), versions(restored, "a"));
        restored.apply(2, START + StreamTable.RETENTION_MILLIS, ByteString.EMPTY);
        assertEquals(List.of(), versions(restored, "a"));
    }
}
