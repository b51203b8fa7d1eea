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
 * Creates the durable state of an initial voter. To be run once on each VM of a new control group. A VM that lost its
 * disk must join with a new identity instead, since it no longer has the votes and entries that it confirmed. Not
 * thread safe.
 */
final class BootstrapCommand extends SettingsOption implements Command {

    @Override
    public ExitCode run(PrintStream output) throws IOException {
        ProcessSettings settings = readSettings();
        Path folder = requireDataFolder(settings);
        List<VmName> voters =
                settings.controlVms().stream().map(VmAddress::name).toList();
        MemberId member = GroupMember.bootstrap(
                folder, settings.controlGroup(), settings.vm().name(), voters);
        output.println("created member " + member + " of group " + settings.controlGroup());
        return ExitCode.DONE;
    }

    /**
     * Returns the data folder, which every VM of the control group needs.
     *
     * @param settings the settings of the VM
     * @return the folder
     * @throws CommandFailure if the settings contain no data folder
     */
    static Path requireDataFolder(ProcessSettings settings) {
        return settings.dataFolder()
                .orElseThrow(() -> new CommandFailure(ExitCode.USAGE, "vm.data_folder is missing from the settings"));
    }
}
