package org.borageproxy.command;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Selects a command by its name, parses its arguments and runs it. Immutable and thread safe. */
public final class CommandLine {

    private static final int USAGE_COLUMNS = 100;

    /** The commands by name, in the order of the help text. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /**
     * A registered command.
     *
     * @param description the line of the help text
     * @param factory creates an instance for each run, into which the arguments are parsed
     */
    private record Entry(String description, Supplier<Command> factory) {}

    /** Registers all commands. */
    public CommandLine() {
        add("serve", "run a VM", ServeCommand::new);
        add("platform", "run a VM on the platform", PlatformCommand::new);
        add("demo", "run a VM, a model engine and a plain service in one process", DemoCommand::new);
        add("bootstrap", "create the durable state of a VM of a new control group", BootstrapCommand::new);
        add("join", "create the empty durable state of a VM that replaces a lost member", JoinCommand::new);
        add("recover", "make this VM the only voter of a new group after the loss of a majority", RecoverCommand::new);
        add("apply", "change the settings tree", ApplyCommand::new);
        add("get", "print the settings tree, or with --effective the effective values", GetCommand::new);
        add("diff", "print the differences between two revisions", DiffCommand::new);
        add("rollback", "restore the tree of an earlier revision", RollbackCommand::new);
        add("key", "create, withdraw or list API keys of callers", KeyCommand::new);
        add("status", "print the state of the VMs and the revision that each one serves", StatusCommand::new);
        add("members", "list or change the members of the control group", MembersCommand::new);
        add("drain", "shut one VM down gracefully", DrainCommand::new);
        add("drain-zone", "send nothing to the backend servers of a zone", () -> new ZoneCommand.Order(true));
        add("return-zone", "send requests to a drained zone again", () -> new ZoneCommand.Order(false));
        add("drained-zones", "print the drained zones of a fleet on the platform", ZoneCommand.ListDrained::new);
        add("timeline", "print the events of all VMs in causal order", TimeLineCommand::new);
        add("explain", "print the log lines of one request from the logs of all VMs", ExplainCommand::new);
        add(
                "unserved",
                "list the models and adapters that were asked for and never served, from the logs of all VMs",
                UnservedCommand::new);
        add(
                "publications",
                "list how long each publication took to be in force, and why, from the logs of all VMs",
                PublicationsCommand::new);
        add("check-settings", "validate a settings file", CheckSettingsCommand::new);
        add("experiment", "compare policies with a baseline on seeded traces", ExperimentCommand::new);
        add("standin", "run a stand-in backend server or weight store", StandInCommand::new);
        add("version", "print the version", VersionCommand::new);
    }

    /**
     * Adds a command.
     *
     * @param name the command's name
     * @param description the line of the help text
     * @param factory creates an instance for each run
     */
    private void add(String name, String description, Supplier<Command> factory) {
        entries.put(name, new Entry(description, factory));
    }

    /**
     * Runs the command named by the first argument. Without arguments, the help text goes to the error stream.
     *
     * @param arguments the command's name and its arguments
     * @param output the stream for results and requested help
     * @param errors the stream for error messages
     * @return the exit code
     */
    public ExitCode run(String[] arguments, PrintStream output, PrintStream errors) {
        if (arguments.length == 0 || isHelp(arguments[0])) {
            printCommands(arguments.length == 0 ? errors : output);
            return arguments.length == 0 ? ExitCode.USAGE : ExitCode.DONE;
        }
        Entry entry = entries.get(arguments[0]);
        if (entry == null) {
            errors.println("borageproxy: unknown command '" + arguments[0] + "'");
            printCommands(errors);
            return ExitCode.USAGE;
        }
        Command command = entry.factory().get();
        String[] rest = java.util.Arrays.copyOfRange(arguments, 1, arguments.length);
        return parseAndRun(arguments[0], command, rest, output, errors);
    }

    /**
     * Parses the arguments into a command and runs it.
     *
     * @param name the command's name
     * @param command the command
     * @param arguments the arguments after the name
     * @param output the stream for results and requested help
     * @param errors the stream for error messages
     * @return the exit code
     */
    private static ExitCode parseAndRun(
            String name, Command command, String[] arguments, PrintStream output, PrintStream errors) {
        ParserProperties properties = ParserProperties.defaults().withUsageWidth(USAGE_COLUMNS);
        CmdLineParser parser = new CmdLineParser(command, properties);
        if (arguments.length > 0 && isHelp(arguments[0])) {
            printUsage(name, parser, output);
            return ExitCode.DONE;
        }
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            errors.println("borageproxy " + name + ": " + exception.getMessage());
            printUsage(name, parser, errors);
            return ExitCode.USAGE;
        }
        return runParsed(name, command, output, errors);
    }

    /**
     * Runs a command after its arguments were parsed, and reports its failure.
     *
     * @param name the command's name
     * @param command the command
     * @param output the stream for results and requested help
     * @param errors the stream for error messages
     * @return the exit code
     */
    private static ExitCode runParsed(String name, Command command, PrintStream output, PrintStream errors) {
        try {
            return command.run(output);
        } catch (CommandFailure failure) {
            errors.println("borageproxy " + name + ": " + failure.getMessage());
            return failure.exitCode();
        } catch (Exception exception) {
            errors.println("borageproxy " + name + ": " + exception);
            return ExitCode.REFUSED;
        }
    }

    private static boolean isHelp(String argument) {
        return argument.equals("help") || argument.equals("--help") || argument.equals("-h");
    }

    /**
     * Prints the usage text of a command.
     *
     * @param name the command's name
     * @param parser the command's parser
     * @param stream the stream to print to
     */
    private static void printUsage(String name, CmdLineParser parser, PrintStream stream) {
        stream.print("usage: borageproxy " + name);
        parser.printSingleLineUsage(stream);
        stream.println();
        parser.printUsage(stream);
    }

    /**
     * Prints the help text.
     *
     * @param stream the stream to print to
     */
    private void printCommands(PrintStream stream) {
        stream.println("usage: borageproxy COMMAND [ARGUMENTS], or borageproxy COMMAND --help");
        entries.forEach((name, entry) -> stream.printf("  %-16s %s%n", name, entry.description()));
    }
}
