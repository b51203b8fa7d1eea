package org.borageproxy.command;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Finds and runs the command that the arguments name. Immutable and thread safe. */
public final class CommandLine {

    /** The width of the usage text in columns. */
    private static final int USAGE_COLUMNS = 100;

    /** The commands by name, in the order in which help lists them. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /**
     * A command with its one-line description.
     *
     * @param description what the command does
     * @param factory creates the command before its arguments are parsed
     */
    private record Entry(String description, Supplier<Command> factory) {}

    /** Creates a command line with all commands. */
    public CommandLine() {
        add("serve", "run a VM as its settings say", ServeCommand::new);
        add("platform", "run a VM on the platform, as its settings file says", PlatformCommand::new);
        add("demo", "run a VM, a model engine and a plain service in one process", DemoCommand::new);
        add("bootstrap", "create the durable state of a VM of a new control group", BootstrapCommand::new);
        add("join", "create the empty durable state of a VM that replaces a lost one", JoinCommand::new);
        add("recover", "make this VM the only voter of a new group after a lost majority", RecoverCommand::new);
        add("apply", "change the settings tree", ApplyCommand::new);
        add("get", "print the settings tree, or with --effective the values in force", GetCommand::new);
        add("diff", "print what differs between two revisions", DiffCommand::new);
        add("rollback", "make an earlier revision the newest one", RollbackCommand::new);
        add("key", "create, withdraw or list callers' keys", KeyCommand::new);
        add("status", "print the state of the VMs and the revision that each serves", StatusCommand::new);
        add("members", "list or change the members of the control group", MembersCommand::new);
        add("drain", "shut one VM down gracefully", DrainCommand::new);
        add("timeline", "print the events of all VMs in one order", TimeLineCommand::new);
        add("explain", "print the lines of one request from the logs of all VMs", ExplainCommand::new);
        add("check-settings", "check a settings file without starting", CheckSettingsCommand::new);
        add("experiment", "compare policies with a baseline on seeded traces", ExperimentCommand::new);
        add("standin", "run a stand-in backend server or weight store", StandInCommand::new);
        add("version", "print the version", VersionCommand::new);
    }

    /**
     * Adds a command.
     *
     * @param name the command's name
     * @param description what the command does
     * @param factory creates the command
     */
    private void add(String name, String description, Supplier<Command> factory) {
        entries.put(name, new Entry(description, factory));
    }

    /**
     * Runs the command that the arguments name.
     *
     * @param arguments the command's name and its arguments
     * @param output takes what the command prints
     * @param errors takes complaints
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
     * Parses the arguments of a command and runs it.
     *
     * @param name the command's name
     * @param command the command
     * @param arguments the arguments after the name
     * @param output takes what the command prints
     * @param errors takes complaints
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
     * Runs a command whose arguments were parsed.
     *
     * @param name the command's name
     * @param command the command
     * @param output takes what the command prints
     * @param errors takes complaints
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

    /**
     * Tells whether an argument asks for help.
     *
     * @param argument the argument
     * @return {@code true} if it does
     */
    private static boolean isHelp(String argument) {
        return argument.equals("help") || argument.equals("--help") || argument.equals("-h");
    }

    /**
     * Prints how a command is used.
     *
     * @param name the command's name
     * @param parser the command's parser
     * @param stream takes the text
     */
    private static void printUsage(String name, CmdLineParser parser, PrintStream stream) {
        stream.print("usage: borageproxy " + name);
        parser.printSingleLineUsage(stream);
        stream.println();
        parser.printUsage(stream);
    }

    /**
     * Prints the list of commands.
     *
     * @param stream takes the text
     */
    private void printCommands(PrintStream stream) {
        stream.println("usage: borageproxy COMMAND [ARGUMENTS], or borageproxy COMMAND --help");
        entries.forEach((name, entry) -> stream.printf("  %-16s %s%n", name, entry.description()));
    }
}
