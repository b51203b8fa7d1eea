package org.borageproxy.platform;

import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests a VM with all roles from its start through a publication, heartbeats and requests to its shutdown. */
class PlatformRehearsalTest {

    @Test
    void vmServesRequestsOfBothKindsAndShutsDown(@TempDir Path folder) throws Exception {
        new PlatformRehearsal().run(folder);
        assertTrue(Files.isDirectory(folder.resolve("data")));
    }
}
