package org.borageproxy.result;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests of {@link ResultCode}. */
class ResultCodeTest {

    @Test
    void numbersAreUnique() {
        long distinct = Arrays.stream(ResultCode.values())
                .mapToInt(ResultCode::number)
                .distinct()
                .count();
        assertEquals(ResultCode.values().length, distinct);
    }

    @Test
    void documentedTableContainsEveryCode() throws IOException {
        String table = Files.readString(Path.of("docs/RESULT-CODES.md"));
        for (ResultCode code : ResultCode.values()) {
            String row = "| " + code.number() + " | `" + code + "` | " + code.httpStatus() + " | " + code.sentence();
            assertTrue(table.contains(row), row);
        }
    }
}
