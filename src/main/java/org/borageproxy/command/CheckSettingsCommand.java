package org.borageproxy.command;

import java.io.PrintStream;

import org.borageproxy.settings.ProcessSettings;

/** Validates a settings file without starting a VM. Not thread safe. */
final class CheckSettingsCommand extends SettingsOption implements Command {

    @Override
    public ExitCode run(PrintStream output) {
        ProcessSettings settings = readSettings();
        output.println("The settings of " + settings.vm().name() + " are valid.");
        return ExitCode.DONE;
    }
}
