package org.borageproxy.command;

import java.io.PrintStream;

import org.borageproxy.settings.ProcessSettings;

/** Checks a settings file without starting. Used by one thread. */
final class CheckSettingsCommand extends SettingsOption implements Command {

    @Override
    public ExitCode run(PrintStream output) {
        ProcessSettings settings = settings();
        output.println("The settings of " + settings.vm().name() + " are valid.");
        return ExitCode.DONE;
    }
}
