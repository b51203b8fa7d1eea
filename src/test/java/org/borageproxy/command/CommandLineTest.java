package org.borageproxy.command;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests of {@link CommandLine}. */
class CommandLineTest {

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private ExitCode run(String... arguments) {
        return new CommandLine().run(arguments, new PrintStream(output), new PrintStream(errors));
    }

    private String firstError() {
        return errors.toString(StandardCharsets.UTF_8).lines().findFirst().orElse("");
    }

    @Test
    void invalidArgumentsExitWithUsageCodeAndPrintError() {
        assertEquals(ExitCode.USAGE, run("aply"));
        assertEquals("borageproxy: unknown command 'aply'", firstError());
        errors.reset();
        assertEquals(ExitCode.USAGE, run("diff", "one", "2"));
        assertTrue(firstError().startsWith("borageproxy diff: "), firstError());
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("usage: borageproxy diff"));
    }

    @Test
    void helpExitsSuccessfully() {
        for (List<String> arguments : List.of(List.of("help"), List.of("apply", "--help"))) {
            assertEquals(ExitCode.DONE, run(arguments.toArray(String[]::new)));
        }
        assertTrue(output.toString(StandardCharsets.UTF_8).contains("check-settings"));
    }

    @Test
    void missingSettingsFileAndUnconfirmedRecoveryAreRejected() {
        assertEquals(ExitCode.INVALID, run("check-settings", "missing.toml"));
        assertEquals(ExitCode.USAGE, run("recover", "missing.toml", "--new-group", "other"));
    }

    @Test
    void everyExitCodeIsDocumented() throws Exception {
        String page = Files.readString(Path.of("docs/RESULT-CODES.md"));
        for (ExitCode code : ExitCode.values()) {
            assertTrue(page.contains("| " + code.number() + " | `" + code + "` |"), code.name());
        }
    }
}
