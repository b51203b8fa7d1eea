package org.borageproxy.forward;

import java.io.ByteArrayOutputStream;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

/** Tests that a body is the concatenation of its parts, whatever their sizes are. */
class BodyPartsTest {

    private static final int SEED = 5;

    @Test
    void onePartIsNotCopied() {
        BodyParts parts = new BodyParts();
        byte[] part = {1, 2, 3};
        parts.add(part);
        assertSame(part, parts.take());
        assertEquals(0, parts.take().length);
    }

    @Test
    void bodyWithoutPartsIsEmpty() {
        assertEquals(0, new BodyParts().take().length);
    }

    @Test
    void clearedPartsAreDropped() {
        BodyParts parts = new BodyParts();
        parts.add(new byte[] {1});
        parts.add(new byte[] {2});
        parts.clear();
        parts.add(new byte[] {3});
        assertArrayEquals(new byte[] {3}, parts.take());
    }

    /** Guards against bytes that are lost or reordered where a part does not fit into the rest of a block. */
    @Test
    void bodyIsTheConcatenationOfItsParts() {
        Random random = new Random(SEED);
        for (int body = 0; body < 300; body++) {
            BodyParts parts = new BodyParts();
            ByteArrayOutputStream expected = new ByteArrayOutputStream();
            int count = random.nextInt(200);
            for (int number = 0; number < count; number++) {
                byte[] part = new byte[random.nextInt(1 << random.nextInt(15))];
                random.nextBytes(part);
                parts.add(part);
                expected.writeBytes(part);
            }
            assertArrayEquals(expected.toByteArray(), parts.take());
        }
    }
}
