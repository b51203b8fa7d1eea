package org.borageproxy.settings;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** Reads the settings of a process from a TOML file. Stateless and thread safe. */
public final class SettingsFile {

    /** The largest TCP port. */
    private static final int LARGEST_PORT = 65_535;
    /** The longest time limit in milliseconds: a day. */
    private static final long LONGEST_MILLIS = 86_400_000L;
    /** The smallest length of a secret in characters. */
    private static final int SHORTEST_SECRET = 16;
    /** The keys of a table that names a VM. */
    private static final Set<String> VM_KEYS = Set.of("name", "availability_zone", "host", "port");

    /** Not instantiated. */
    private SettingsFile() {}

    /**
     * Reads and checks a file.
     *
     * @param file the file
     * @return the settings
     * @throws SettingsException if the file has faults; it lists them all
     * @throws IOException if the file cannot be read
     */
    public static ProcessSettings read(Path file) throws SettingsException, IOException {
        return parse(
                file.getFileName().toString(),
                Files.readString(file),
                file.toAbsolutePath().getParent());
    }

    /**
     * Parses and checks settings.
     *
     * @param name the file's name, for errors
     * @param content the content of the file
     * @param folder the folder against which relative paths are resolved
     * @return the settings
     * @throws SettingsException if the content has faults; it lists them all
     */
    static ProcessSettings parse(String name, String content, Path folder) throws SettingsException {
        TomlParseResult parsed = Toml.parse(content);
        List<SettingsError> errors = new ArrayList<>();
        parsed.errors()
                .forEach(error -> errors.add(
                        new SettingsError(name, error.position().line(), "(syntax)", firstLine(error.getMessage()))));
        SettingsReader root = new SettingsReader(name, parsed, "", errors);
        root.finish();
        root.allowOnly(Set.of("vm", "callers", "operators", "announcements", "control", "credentials", "shutdown"));
        ProcessSettings settings = settings(root, folder);
        root.finish();
        return settings;
    }

    /**
     * Reads all tables.
     *
     * @param root the reader of the file
     * @param folder the folder against which relative paths are resolved
     * @return the settings
     */
    private static ProcessSettings settings(SettingsReader root, Path folder) {
        SettingsReader vm = root.child("vm");
        vm.allowOnly(Set.of("name", "availability_zone", "host", "port", "data_folder"));
        VmAddress self = address(vm);
        Optional<Path> dataFolder =
                vm.has("data_folder") ? Optional.of(folder.resolve(vm.text("data_folder"))) : Optional.empty();
        Optional<Endpoint> callers =
                root.has("callers") ? Optional.of(endpoint(root.child("callers"))) : Optional.empty();
        Endpoint operators = endpoint(root.child("operators"));
        Endpoint announcements = endpoint(root.child("announcements"));
        SettingsReader control = root.child("control");
        String group = control.text("group");
        List<VmAddress> controlVms = controlVms(control);
        checkMembership(root, self, dataFolder, controlVms);
        return new ProcessSettings(
                self,
                callers,
                operators,
                announcements,
                dataFolder,
                group,
                controlVms,
                credentials(root.child("credentials"), folder),
                root.has("shutdown") ? shutdown(root.child("shutdown")) : ShutdownSettings.DEFAULT);
    }

    /**
     * Reads the VMs of the control group.
     *
     * @param control the reader of the table
     * @return the VMs
     */
    private static List<VmAddress> controlVms(SettingsReader control) {
        control.allowOnly(Set.of("group", "vm"));
        List<VmAddress> vms = new ArrayList<>();
        for (SettingsReader vm : control.children("vm")) {
            vm.allowOnly(VM_KEYS);
            vms.add(address(vm));
        }
        long distinct = vms.stream().map(VmAddress::name).distinct().count();
        if (distinct != vms.size()) {
            control.fault("vm", "expected a different name for each VM");
        }
        return vms;
    }

    /**
     * Checks that a VM with a data folder stands in the control group.
     *
     * @param root the reader of the file
     * @param self this VM
     * @param dataFolder the data folder, if any
     * @param controlVms the VMs of the control group
     */
    private static void checkMembership(
            SettingsReader root, VmAddress self, Optional<Path> dataFolder, List<VmAddress> controlVms) {
        boolean listed = controlVms.stream().anyMatch(vm -> vm.name().equals(self.name()));
        if (listed && dataFolder.isEmpty()) {
            root.child("vm").fault("data_folder", "expected a folder, since [[control.vm]] names this VM");
        }
    }

    /**
     * Reads a VM's name, availability zone and address.
     *
     * @param reader the reader of the table
     * @return the address
     */
    private static VmAddress address(SettingsReader reader) {
        VmName name = new VmName(reader.text("name"));
        AvailabilityZone zone = new AvailabilityZone(reader.text("availability_zone"));
        return new VmAddress(name, zone, host(reader), (int) reader.number("port", 1, LARGEST_PORT));
    }

    /**
     * Reads where a server listens.
     *
     * @param reader the reader of the table
     * @return the endpoint
     */
    private static Endpoint endpoint(SettingsReader reader) {
        reader.allowOnly(Set.of("host", "port"));
        return new Endpoint(host(reader), (int) reader.number("port", 0, LARGEST_PORT));
    }

    /**
     * Reads an IP address.
     *
     * @param reader the reader of the table
     * @return the address
     */
    private static String host(SettingsReader reader) {
        String host = reader.text("host");
        if (!host.matches("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*") || !isAddress(host)) {
            reader.fault("host", "expected an IP address");
        }
        return host;
    }

    /**
     * Tells whether a text made of digits and separators is an IP address.
     *
     * @param host the text
     * @return {@code true} for an address
     */
    private static boolean isAddress(String host) {
        try {
            return !InetAddress.getByName(host).getHostAddress().isEmpty();
        } catch (IOException exception) {
            return false;
        }
    }

    /**
     * Reads the secrets from their files.
     *
     * @param reader the reader of the table
     * @param folder the folder against which relative paths are resolved
     * @return the secrets
     */
    private static Credentials credentials(SettingsReader reader, Path folder) {
        reader.allowOnly(Set.of("vms_file", "operator_file", "announcer_file"));
        return new Credentials(
                secret(reader, "vms_file", folder),
                secret(reader, "operator_file", folder),
                secret(reader, "announcer_file", folder));
    }

    /**
     * Reads one secret.
     *
     * @param reader the reader of the table
     * @param key the key of the file's path
     * @param folder the folder against which a relative path is resolved
     * @return the secret, or {@code "missing"} after a fault
     */
    private static String secret(SettingsReader reader, String key, Path folder) {
        String path = reader.text(key);
        try {
            String secret = Files.readString(folder.resolve(path)).strip();
            if (secret.length() >= SHORTEST_SECRET) {
                return secret;
            }
            reader.fault(key, "expected a file with a secret of at least " + SHORTEST_SECRET + " characters");
        } catch (IOException exception) {
            reader.fault(key, "expected a file that can be read");
        }
        return "missing";
    }

    /**
     * Reads the time limits of a shutdown.
     *
     * @param reader the reader of the table
     * @return the limits
     */
    private static ShutdownSettings shutdown(SettingsReader reader) {
        reader.allowOnly(Set.of("notice_millis", "limit_millis"));
        ShutdownSettings absent = ShutdownSettings.DEFAULT;
        long notice = reader.numberOr("notice_millis", 0, LONGEST_MILLIS, absent.noticeMillis());
        long limit = reader.numberOr("limit_millis", 0, LONGEST_MILLIS, absent.limitMillis());
        if (limit < notice) {
            reader.fault("limit_millis", "expected at least notice_millis");
            return absent;
        }
        return new ShutdownSettings(notice, limit);
    }

    /**
     * Returns the first line of a message.
     *
     * @param message the message
     * @return its first line
     */
    private static String firstLine(String message) {
        return message.lines().findFirst().orElse("malformed TOML");
    }
}
