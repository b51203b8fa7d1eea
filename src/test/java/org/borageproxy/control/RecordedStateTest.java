package org.borageproxy.control;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.borageproxy.log.consensus.RestoredState;
import org.borageproxy.log.storage.DiskStorage;
import org.borageproxy.wire.proto.ControlProtocol.DocumentState;
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
}
