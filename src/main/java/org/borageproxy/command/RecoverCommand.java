package org.borageproxy.command;

import java.io.IOException;
import java.io.PrintStream;

import org.borageproxy.log.GroupMember;
import org.borageproxy.log.consensus.MemberId;
import org.kohsuke.args4j.Option;

/**
 * Makes the member of this VM the only voter of a new group, after a majority of the disks was lost for good. Accepted
 * changes may be lost by it. Used by one thread.
 */
final class RecoverCommand extends SettingsOption implements Command {

    /** The identity of the new group. */
    @Option(
            name = "--new-group",
            required = true,
            metaVar = "NAME",
            usage = "identity of the new group, never used before")
    private String newGroup;

    /** Whether the operator accepts the loss. */
    @Option(name = "--accept-loss", usage = "confirm that accepted changes may be lost")
    private boolean acceptLoss;

    @Override
    public ExitCode run(PrintStream output) throws IOException {
        if (!acceptLoss) {
            throw new CommandFailure(ExitCode.USAGE, "changes may be lost by this; confirm with --accept-loss");
        }
        MemberId member = GroupMember.recoverFromLostMajority(BootstrapCommand.dataFolder(settings()), newGroup);
        output.println("created member " + member + ", the only voter of group " + newGroup);
        output.println("write this group into control.group of every VM's settings before the next start");
        return ExitCode.DONE;
    }
}
