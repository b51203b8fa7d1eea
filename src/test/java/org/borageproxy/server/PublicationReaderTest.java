package org.borageproxy.server;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.borageproxy.control.FleetFake;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.RequestLimits;
import org.borageproxy.wire.proto.ControlProtocol.DocumentState;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a VM that goes on with an old publication since reading the newest one failed once. */
class PublicationReaderTest {

    private static final Duration RETRIES = Duration.ofSeconds(1);

    private final FleetFake time = new FleetFake();
    private final List<Long> inForce = new ArrayList<>();
    private int failures;
    private final PublicationReader reader =
            new PublicationReader(this::parse, time.timer(), publication -> inForce.add(publication.number()));

    private Publication parse(byte[] document) {
        if (failures > 0) {
            failures--;
            throw new StackOverflowError("thrown by the test");
        }
        if (document[0] < 0) {
            throw new IllegalArgumentException("unreadable");
        }
        return new Publication(document[0], List.of(), Map.of(), Map.of(), RequestLimits.DEFAULT);
    }

    private static DocumentState document(int number, int content) {
        return DocumentState.newBuilder()
                .setNumber(number)
                .setContent(ByteString.copyFrom(new byte[] {(byte) content}))
                .build();
    }

    @Test
    void documentIsReadAgainAfterFailures() {
        reader.read(document(1, 1));
        failures = 2;
        reader.read(document(2, 2));
        assertFalse(reader.isCurrent());
        time.run(RETRIES);
        assertEquals(List.of(1L, 2L), inForce);
        assertTrue(reader.isCurrent());
    }

    @Test
    void documentThatFailedIsNotReadAgainAfterNewerOne() {
        failures = 1;
        reader.read(document(1, 1));
        reader.read(document(2, 2));
        time.run(RETRIES);
        reader.read(document(1, 1));
        assertEquals(List.of(2L), inForce);
    }

    @Test
    void publicationStaysInForceWhileNewestDocumentIsUnreadable() {
        reader.read(document(1, 1));
        reader.read(document(2, -1));
        time.run(RETRIES);
        assertEquals(List.of(1L), inForce);
        assertFalse(reader.isCurrent());
    }
}
