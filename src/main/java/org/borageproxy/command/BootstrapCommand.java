package org.borageproxy.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import org.borageproxy.log.GroupMember;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.settings.ProcessSettings;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;

/**
 * Creates the durable state of an initial voter. Run once on each VM of a new control group, never on a VM that lost
 * its disk. Used by one thread.
 */
final class BootstrapCommand extends SettingsOption implements Command {

    @Override
    public ExitCode run(PrintStream output) throws IOException {
        ProcessSettings settings = settings();
        Path folder = dataFolder(settings);
        List<VmName> voters =
                settings.controlVms().stream().map(VmAddress::name).toList();
        MemberId member =
                GroupMember.bootstrap(folder, settings.group(), settings.vm().name(), voters);
        output.println("created member " + member + " of group " + settings.group());
        return ExitCode.DONE;
    }

    /**
     * Returns the data folder of a VM of the control group.
     *
     * @param settings the settings
     * @return the folder
     */
    static Path dataFolder(ProcessSettings settings) {
        return settings.dataFolder()
                .orElseThrow(() -> new CommandFailure(ExitCode.USAGE, "the settings name no vm.data_folder"));
    }
}
