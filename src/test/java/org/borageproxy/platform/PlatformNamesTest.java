package org.borageproxy.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Checks that the names of the platform's protocol occur in the platform package only. */
class PlatformNamesTest {

    private static final Pattern NAMES = Pattern.compile("X-Credential|X-Model|X-Token-Count|X-Prompt-Prefix"
            + "|X-Expect-Replica|X-Request-Urgency|X-Not-Executed|X-Server-Signature|X-Deadline-Ms|Kv-From|FencingToken"
            + "|Replicas\\.|Config\\.Re|BORAGEPROXY_BOOT|WeightsMb|SeedNodes");

    @Test
    void platformProtocolNamesOccurOnlyInPlatformPackage() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            List<String> found = files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> !file.toString().contains("/platform/"))
                    .filter(PlatformNamesTest::containsPlatformName)
                    .map(Path::toString)
                    .toList();
            assertEquals(List.of(), found);
        }
    }

    private static boolean containsPlatformName(Path file) {
        try {
            return NAMES.matcher(Files.readString(file)).find();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
