package org.borageproxy.log;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a member that shows an earlier state, or applies a command twice, after its log is replayed. */
class AppliedStateTest {

    private final List<String> applied = new ArrayList<>();

    private final AppliedState state = new AppliedState(new StateMachine() {

        @Override
        public ByteString apply(long index, long stateMillis, ByteString command) {
            if (command.isEmpty()) {
                throw new OutOfMemoryError("thrown by the test");
            }
            applied.add(command.toStringUtf8());
            return command;
        }

        @Override
        public ByteString snapshot() {
            return ByteString.copyFromUtf8(String.join(",", applied));
        }

        @Override
        public void restore(ByteString snapshot) {
            applied.clear();
            if (!snapshot.isEmpty()) {
                applied.addAll(List.of(snapshot.toStringUtf8().split(",")));
            }
        }
    });

    @Test
    void replayedEntriesAndOlderSnapshotsChangeNothing() {
        state.apply(entry(1, "a"));
        state.apply(entry(2, "b"));
        state.beginReplay();
        state.restore(snapshot(1, "a"));
        state.apply(entry(2, "b"));
        state.apply(entry(3, "c"));
        assertEquals(List.of("a", "b", "c"), applied);
        assertEquals(3, state.index());
    }

    @Test
    void laterSnapshotReplacesState() {
        state.apply(entry(1, "a"));
        state.beginReplay();
        state.restore(snapshot(3, "a,b,c"));
        assertEquals(List.of("a", "b", "c"), applied);
        assertEquals(3, state.index());
    }

    @Test
    void stateMachineThatFailedDuringChangeIsReplayedFromTheBeginning() {
        state.apply(entry(1, "a"));
        assertThrows(OutOfMemoryError.class, () -> state.apply(entry(2, "")));
        state.beginReplay();
        assertEquals(List.of(), applied);
        state.apply(entry(1, "a"));
        state.apply(entry(2, "b"));
        assertEquals(List.of("a", "b"), applied);
    }

    private static Entry entry(long index, String command) {
        return Entry.newBuilder()
                .setIndex(index)
                .setKind(Entry.Kind.COMMAND)
                .setCommand(ByteString.copyFromUtf8(command))
                .build();
    }

    private static Snapshot snapshot(long index, String state) {
        return Snapshot.newBuilder()
                .setIndex(index)
                .setState(ByteString.copyFromUtf8(state))
                .build();
    }
}
