package org.borageproxy.rig;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against answers that are not the caller's own or not whole, streams out of order, once-only requests that run
 * twice and requests that end without an answer, while servers that are processes of their own stutter, break off,
 * crash and freeze. More seeds run by hand with {@link RigRun}.
 */
class RealProcessesTest {

    /** Far below the number of a usual run; fewer successes show that the run has tested little. */
    private static final long MIN_SUCCESSES = 100;

    @TempDir
    Path folder;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void answersAreWholeAndOfTheirOwnRequest(long seed) throws Exception {
        RigRun.Result result = RigRun.run(seed, folder);
        assertEquals(List.of(), result.cases(), result::toString);
        assertTrue(result.successes() >= MIN_SUCCESSES, result::summary);
    }
}
