package org.borageproxy.command;

import java.io.IOException;
import java.io.PrintStream;

import org.borageproxy.log.GroupMember;
import org.borageproxy.log.consensus.MemberId;
import org.kohsuke.args4j.Option;

/**
 * Makes the member of this VM the only voter of a new group, after a majority of the disks was lost permanently.
 * Committed changes that this member has not received are lost. Not thread safe.
 */
final class RecoverCommand extends SettingsOption implements Command {

    @Option(
            name = "--new-group",
            required = true,
            metaVar = "NAME",
            usage = "identity of the new group, which must not have been used before")
    private String newGroup;

    @Option(name = "--accept-loss", usage = "confirm that committed changes may be lost")
    private boolean acceptLoss;

    @Override
    public ExitCode run(PrintStream output) throws IOException {
        if (!acceptLoss) {
            throw new CommandFailure(ExitCode.USAGE, "committed changes may be lost; confirm with --accept-loss");
        }
        MemberId member =
                GroupMember.recoverFromLostMajority(BootstrapCommand.requireDataFolder(readSettings()), newGroup);
        output.println("created member " + member + ", the only voter of group " + newGroup);
        output.println("set control.group to this group in the settings of every VM before the next start");
        return ExitCode.DONE;
    }
}
