package org.borageproxy.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests of {@link SettingsFile}. */
class SettingsFileTest {

    private static final String SECRET = "a-secret-of-the-tests";

    @TempDir
    private Path folder;

    @BeforeEach
    void writeSecrets() throws IOException {
        Files.createDirectory(folder.resolve("secrets"));
        for (String name : List.of("vms", "operator", "announcer")) {
            Files.writeString(folder.resolve("secrets").resolve(name), SECRET + "\n");
        }
    }

    private static String example(String name) throws IOException {
        return Files.readString(Path.of("docs/examples").resolve(name));
    }

    @Test
    void bothExamplesAreValid() throws Exception {
        ProcessSettings withDisk = SettingsFile.parse("a.toml", example("vm-with-disk.toml"), folder);
        ProcessSettings without = SettingsFile.parse("b.toml", example("vm-without-disk.toml"), folder);
        assertTrue(withDisk.isControlVm());
        assertFalse(without.isControlVm());
        assertEquals(3, without.controlVms().size());
        assertFalse(withDisk.toString().contains(SECRET));
    }

    @Test
    void allErrorsAreReportedWithLineAndKey() throws IOException {
        String content = example("vm-with-disk.toml")
                .replace("port = 8080", "port = 80800")
                .replace("notice_millis = 2000", "notice_milis = 2000")
                .replace("secrets/vms", "secrets/none")
                .replaceFirst("host = \"127.0.0.11\"", "host = \"example.org\"");
        SettingsException failure =
                assertThrows(SettingsException.class, () -> SettingsFile.parse("vm.toml", content, folder));
        List<String> keys = failure.errors().stream().map(SettingsError::key).toList();
        assertEquals(List.of("vm.host", "callers.port", "credentials.vms_file", "shutdown.notice_milis"), keys);
        assertTrue(failure.errors().stream().allMatch(error -> error.line() > 0));
    }

    @Test
    void controlVmWithoutDataFolderIsRejected() throws IOException {
        String content = example("vm-with-disk.toml").replaceAll("(?m)^data_folder.*$", "");
        SettingsException failure =
                assertThrows(SettingsException.class, () -> SettingsFile.parse("vm.toml", content, folder));
        assertEquals("vm.data_folder", failure.errors().get(0).key());
    }

    @Test
    void syntaxErrorReportsItsLine() {
        SettingsException failure =
                assertThrows(SettingsException.class, () -> SettingsFile.parse("vm.toml", "[vm]\nname = \n", folder));
        assertEquals(2, failure.errors().get(0).line());
    }
}
