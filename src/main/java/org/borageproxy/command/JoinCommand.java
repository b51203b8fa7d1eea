package org.borageproxy.command;

import java.io.IOException;
import java.io.PrintStream;

import org.borageproxy.log.GroupMember;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.settings.ProcessSettings;

/** Creates the empty durable state of a VM that replaces a lost member of the control group. Not thread safe. */
final class JoinCommand extends SettingsOption implements Command {

    @Override
    public ExitCode run(PrintStream output) throws IOException {
        ProcessSettings settings = readSettings();
        MemberId member = GroupMember.join(
                BootstrapCommand.requireDataFolder(settings),
                settings.controlGroup(),
                settings.vm().name());
        output.println("created member " + member + " of group " + settings.controlGroup());
        output.println("start this VM, then run from any machine:");
        output.println("  borageproxy members add-learner '" + member + "' ...");
        output.println("  borageproxy members promote '" + member + "' ...");
        output.println("  borageproxy members remove '<lost member>' ...");
        return ExitCode.DONE;
    }
}
