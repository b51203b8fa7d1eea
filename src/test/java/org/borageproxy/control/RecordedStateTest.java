package org.borageproxy.control;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.borageproxy.log.consensus.RestoredState;
import org.borageproxy.log.storage.DiskStorage;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.ControlSnapshot;
import org.borageproxy.wire.proto.ControlProtocol.DocumentState;
import org.borageproxy.wire.proto.ControlProtocol.GrantTrial;
import org.borageproxy.wire.proto.ControlProtocol.VouchForPart;
import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a control VM that loses or misreads what a member of an earlier release has written. The files were
 * written by a control VM of the commit in their path, to which two documents were published, and which was stopped.
 */
class RecordedStateTest {

    private static final String RECORDED = "/recorded/a4c8081/data/";
    private static final List<String> FILES = List.of("identity", "last-segment", "segment-000000000001.log", "vote");
    private static final String CRASHES = "/recorded/c187e6b/";
    private static final int SEGMENT_BYTES = 1 << 20;
    private static final long LAST_DOCUMENT = 9;

    @TempDir
    private Path folder;

    @Test
    void logOfAnEarlierReleaseHoldsItsLastDocument() throws IOException {
        for (String file : FILES) {
            try (InputStream input = RecordedStateTest.class.getResourceAsStream(RECORDED + file)) {
                Files.copy(input, folder.resolve(file));
            }
        }
        ControlState state = new ControlState();
        try (DiskStorage storage = DiskStorage.open(folder, SEGMENT_BYTES)) {
            RestoredState restored = storage.restoredState();
            assertTrue(restored.entries().size() > 2);
            for (Entry entry : restored.entries()) {
                if (entry.getKind() == Entry.Kind.COMMAND) {
                    state.apply(entry.getIndex(), entry.getStateMillis(), entry.getCommand());
                }
            }
        }
        DocumentState document = state.document().orElseThrow();
        assertEquals(LAST_DOCUMENT, document.getNumber());
        assertTrue(document.getContent().toStringUtf8().contains("\"PathPrefix\":\"/p/\""));
    }

    /**
     * Guards against control VMs of two builds that keep different crash records while both run. The commands are
     * random reports and successes; the snapshot is that of the state machine of the commit in their path after them.
     * No record of a VM says that it grants trials.
     */
    @Test
    void crashReportsLeadToTheStateOfAnEarlierRelease() throws IOException {
        ControlState state = new ControlState();
        try (InputStream commands = RecordedStateTest.class.getResourceAsStream(CRASHES + "crash-commands.bin");
                InputStream snapshot = RecordedStateTest.class.getResourceAsStream(CRASHES + "crash-snapshot.bin")) {
            Entry entry = Entry.parseDelimitedFrom(commands);
            while (entry != null) {
                state.apply(entry.getIndex(), entry.getStateMillis(), entry.getCommand());
                applyUnknownToTheEarlierRelease(state, entry.getStateMillis());
                entry = Entry.parseDelimitedFrom(commands);
            }
            assertEquals(ControlSnapshot.parseFrom(snapshot), ControlSnapshot.parseFrom(state.snapshot()));
        }
    }

    private static void applyUnknownToTheEarlierRelease(ControlState state, long stateMillis) {
        Command trial = Command.newBuilder()
                .setGrantTrial(GrantTrial.newBuilder().addFingerprints("f0").addFingerprints("part:s/p0"))
                .build();
        Command word = Command.newBuilder()
                .setVouchForPart(VouchForPart.newBuilder().setFingerprint("part:s/p1"))
                .build();
        state.apply(0, stateMillis, trial.toByteString());
        state.apply(0, stateMillis, word.toByteString());
    }
}
