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

/** Reads and validates the settings of a process from a TOML file. Stateless and thread safe. */
public final class SettingsFile {

    /** The largest TCP port. */
    private static final int MAX_PORT = 65_535;
    /** The longest time limit of a shutdown, in milliseconds: one day. */
    private static final long MAX_SHUTDOWN_MILLIS = 86_400_000L;
    /** The minimum length of a secret, in characters. */
    private static final int MIN_SECRET_CHARACTERS = 16;
    /** The keys of the table of a VM of the control group. */
    private static final Set<String> VM_KEYS = Set.of("name", "availability_zone", "host", "port");

    /** Not instantiated. */
    private SettingsFile() {}

    /**
     * Reads and validates a file.
     *
     * @param file the file
     * @return the settings
     * @throws SettingsException if the file is invalid; reports all errors
     * @throws IOException if the file cannot be read
     */
    public static ProcessSettings read(Path file) throws SettingsException, IOException {
        return parse(
                file.getFileName().toString(),
                Files.readString(file),
                file.toAbsolutePath().getParent());
    }

    /**
     * Parses and validates settings.
     *
     * @param name the file's name, for error messages
     * @param content the content of the file
     * @param folder the folder against which relative paths are resolved
     * @return the settings
     * @throws SettingsException if the content is invalid; reports all errors, or only those of syntax if there are any
     */
    static ProcessSettings parse(String name, String content, Path folder) throws SettingsException {
        TomlParseResult parsed = Toml.parse(content);
        List<SettingsError> errors = new ArrayList<>();
        parsed.errors()
                .forEach(error -> errors.add(
                        new SettingsError(name, error.position().line(), "(syntax)", firstLine(error.getMessage()))));
        SettingsReader root = new SettingsReader(name, parsed, "", errors);
        root.throwIfInvalid();
        root.rejectUnknownKeys(
                Set.of("vm", "callers", "operators", "announcements", "control", "credentials", "shutdown"));
        ProcessSettings settings = readSettings(root, folder);
        root.throwIfInvalid();
        return settings;
    }

    /**
     * Reads all tables and records errors.
     *
     * @param root the reader of the file
     * @param folder the folder against which relative paths are resolved
     * @return the settings; values that could not be read are replaced by placeholders
     */
    private static ProcessSettings readSettings(SettingsReader root, Path folder) {
        SettingsReader vm = root.requireTable("vm");
        vm.rejectUnknownKeys(Set.of("name", "availability_zone", "host", "port", "data_folder"));
        VmAddress self = readAddress(vm);
        Optional<Path> dataFolder = vm.hasKey("data_folder")
                ? Optional.of(folder.resolve(vm.requireText("data_folder")))
                : Optional.empty();
        Optional<Endpoint> callers =
                root.hasKey("callers") ? Optional.of(readEndpoint(root.requireTable("callers"))) : Optional.empty();
        Endpoint operators = readEndpoint(root.requireTable("operators"));
        Endpoint announcements = readEndpoint(root.requireTable("announcements"));
        SettingsReader control = root.requireTable("control");
        String group = control.requireText("group");
        List<VmAddress> controlVms = readControlVms(control);
        checkDataFolder(root, self, dataFolder, controlVms);
        return new ProcessSettings(
                self,
                callers,
                operators,
                announcements,
                dataFolder,
                group,
                controlVms,
                readCredentials(root.requireTable("credentials"), folder),
                root.hasKey("shutdown") ? readShutdown(root.requireTable("shutdown")) : ShutdownSettings.DEFAULT);
    }

    /**
     * Reads the VMs of the control group.
     *
     * @param control the reader of the table
     * @return the VMs
     */
    private static List<VmAddress> readControlVms(SettingsReader control) {
        control.rejectUnknownKeys(Set.of("group", "vm"));
        List<VmAddress> vms = new ArrayList<>();
        for (SettingsReader vm : control.requireTables("vm")) {
            vm.rejectUnknownKeys(VM_KEYS);
            vms.add(readAddress(vm));
        }
        long distinct = vms.stream().map(VmAddress::name).distinct().count();
        if (distinct != vms.size()) {
            control.addError("vm", "expected distinct names of VMs");
        }
        return vms;
    }

    /**
     * Checks that this VM has a data folder if it is listed in the control group.
     *
     * @param root the reader of the file
     * @param self this VM
     * @param dataFolder the data folder, empty if the settings have none
     * @param controlVms the VMs of the control group
     */
    private static void checkDataFolder(
            SettingsReader root, VmAddress self, Optional<Path> dataFolder, List<VmAddress> controlVms) {
        boolean listed = controlVms.stream().anyMatch(vm -> vm.name().equals(self.name()));
        if (listed && dataFolder.isEmpty()) {
            root.requireTable("vm")
                    .addError("data_folder", "expected a folder, since this VM is listed in [[control.vm]]");
        }
    }

    /**
     * Reads a VM's name, availability zone and address.
     *
     * @param reader the reader of the table
     * @return the address
     */
    private static VmAddress readAddress(SettingsReader reader) {
        VmName name = new VmName(reader.requireText("name"));
        AvailabilityZone zone = new AvailabilityZone(reader.requireText("availability_zone"));
        return new VmAddress(name, zone, readHost(reader), (int) reader.requireNumber("port", 1, MAX_PORT));
    }

    /**
     * Reads an endpoint on which a server listens.
     *
     * @param reader the reader of the table
     * @return the endpoint
     */
    private static Endpoint readEndpoint(SettingsReader reader) {
        reader.rejectUnknownKeys(Set.of("host", "port"));
        return new Endpoint(readHost(reader), (int) reader.requireNumber("port", 0, MAX_PORT));
    }

    /**
     * Reads an IP address. Host names are rejected, so that no name is resolved.
     *
     * @param reader the reader of the table
     * @return the address, possibly invalid after an error
     */
    private static String readHost(SettingsReader reader) {
        String host = reader.requireText("host");
        if (!host.matches("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*") || !isIpAddress(host)) {
            reader.addError("host", "expected an IP address");
        }
        return host;
    }

    /**
     * Returns whether a string of digits and separators is an IP address.
     *
     * @param host the string, which must not be a host name
     * @return {@code true} if it is an IP address
     */
    private static boolean isIpAddress(String host) {
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
    private static Credentials readCredentials(SettingsReader reader, Path folder) {
        reader.rejectUnknownKeys(Set.of("vms_file", "operator_file", "announcer_file"));
        return new Credentials(
                readSecret(reader, "vms_file", folder),
                readSecret(reader, "operator_file", folder),
                readSecret(reader, "announcer_file", folder));
    }

    /**
     * Reads a secret without surrounding white space.
     *
     * @param reader the reader of the table
     * @param key the key of the path of the secret's file
     * @param folder the folder against which a relative path is resolved
     * @return the secret, or {@code "missing"} after an error
     */
    private static String readSecret(SettingsReader reader, String key, Path folder) {
        String path = reader.requireText(key);
        try {
            String secret = Files.readString(folder.resolve(path)).strip();
            if (secret.length() >= MIN_SECRET_CHARACTERS) {
                return secret;
            }
            reader.addError(key, "expected a file with a secret of at least " + MIN_SECRET_CHARACTERS + " characters");
        } catch (IOException exception) {
            reader.addError(key, "expected a readable file");
        }
        return "missing";
    }

    /**
     * Reads the time limits of a shutdown.
     *
     * @param reader the reader of the table
     * @return the limits, or placeholders after an error
     */
    private static ShutdownSettings readShutdown(SettingsReader reader) {
        reader.rejectUnknownKeys(Set.of("notice_millis", "limit_millis"));
        ShutdownSettings defaults = ShutdownSettings.DEFAULT;
        long notice = reader.numberOrDefault("notice_millis", 0, MAX_SHUTDOWN_MILLIS, defaults.noticePeriodMillis());
        long limit = reader.numberOrDefault("limit_millis", 0, MAX_SHUTDOWN_MILLIS, defaults.timeoutMillis());
        if (limit < notice) {
            reader.addError("limit_millis", "expected at least notice_millis");
            return defaults;
        }
        return new ShutdownSettings(notice, limit);
    }

    /**
     * Returns the first line of a message, since each error is rendered as one line.
     *
     * @param message the message of the TOML parser
     * @return the first line, or a general message if there is none
     */
    private static String firstLine(String message) {
        return message.lines().findFirst().orElse("malformed TOML");
    }
}
