package org.borageproxy.log;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import com.google.protobuf.ByteString;

/**
 * Records the distinct commands applied so far, in order; a command that a test proposed again after an unknown outcome
 * is recorded once.
 */
final class RecordingStateMachine implements StateMachine {

    private final List<String> commands = new CopyOnWriteArrayList<>();

    @Override
    public ByteString apply(long index, long stateMillis, ByteString command) {
        if (!commands.contains(command.toStringUtf8())) {
            commands.add(command.toStringUtf8());
        }
        return ByteString.copyFromUtf8("done " + command.toStringUtf8());
    }

    @Override
    public ByteString snapshot() {
        return ByteString.copyFromUtf8(String.join("\n", commands));
    }

    @Override
    public void restore(ByteString snapshot) {
        commands.clear();
        if (!snapshot.isEmpty()) {
            commands.addAll(List.of(snapshot.toStringUtf8().split("\n")));
        }
    }

    List<String> commands() {
        return List.copyOf(commands);
    }
}
