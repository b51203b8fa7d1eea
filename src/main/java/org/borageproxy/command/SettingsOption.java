package org.borageproxy.command;

import java.io.IOException;
import java.nio.file.Path;

import org.borageproxy.settings.ProcessSettings;
import org.borageproxy.settings.SettingsException;
import org.borageproxy.settings.SettingsFile;
import org.kohsuke.args4j.Argument;

/** The argument of commands that read a settings file. Set by the argument parser, then read by one thread. */
class SettingsOption {

    @Argument(required = true, metaVar = "SETTINGS.toml", usage = "settings file of the VM")
    private String settingsFile;

    /**
     * Reads and validates the settings file.
     *
     * @return the settings
     * @throws CommandFailure if the file cannot be read or is invalid
     */
    ProcessSettings readSettings() {
        try {
            return SettingsFile.read(Path.of(settingsFile));
        } catch (SettingsException exception) {
            throw new CommandFailure(ExitCode.INVALID, "the settings are invalid\n" + exception.getMessage());
        } catch (IOException exception) {
            throw new CommandFailure(ExitCode.INVALID, "cannot read the settings file " + settingsFile);
        }
    }
}
