package org.borageproxy.command;

import java.io.IOException;
import java.nio.file.Path;

import org.borageproxy.settings.ProcessSettings;
import org.borageproxy.settings.SettingsException;
import org.borageproxy.settings.SettingsFile;
import org.kohsuke.args4j.Argument;

/** The argument of every command that reads a settings file. Filled by the parser, then read by one thread. */
class SettingsOption {

    /** The settings file. */
    @Argument(required = true, metaVar = "SETTINGS.toml", usage = "settings file of the VM")
    private String file;

    /**
     * Reads and checks the settings.
     *
     * @return the settings
     */
    ProcessSettings settings() {
        try {
            return SettingsFile.read(Path.of(file));
        } catch (SettingsException exception) {
            throw new CommandFailure(ExitCode.INVALID, "the settings have faults\n" + exception.getMessage());
        } catch (IOException exception) {
            throw new CommandFailure(ExitCode.INVALID, "cannot read the settings file " + file);
        }
    }
}
