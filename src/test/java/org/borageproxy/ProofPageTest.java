package org.borageproxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Verifies that every test named in {@code docs/PROOF.md} exists. */
class ProofPageTest {

    private static final Pattern NAMED_TEST = Pattern.compile("`(\\w+Test)\\.(\\w+)`");

    @Test
    void everyTestNamedOnThePageExists() throws IOException {
        String page = Files.readString(Path.of("docs/PROOF.md"));
        List<MatchResult> named = NAMED_TEST.matcher(page).results().toList();
        assertFalse(named.isEmpty());
        for (MatchResult test : named) {
            assertTrue(exists(test.group(1), test.group(2)), test.group());
        }
    }

    private static boolean exists(String type, String method) throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/test/java"))) {
            for (Path file : files.filter(path -> path.endsWith(type + ".java")).toList()) {
                if (Files.readString(file).contains("void " + method + "(")) {
                    return true;
                }
            }
        }
        return false;
    }
}
