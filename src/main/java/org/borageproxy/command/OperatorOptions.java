package org.borageproxy.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.borageproxy.settings.Endpoint;
import org.kohsuke.args4j.Option;

/** The options of commands that call VMs. Set by the argument parser, then read by one thread. */
class OperatorOptions {

    @Option(
            name = "--vm",
            required = true,
            metaVar = "HOST:PORT",
            usage = "address of a VM's operators' interface; may be repeated, in the order in which they are tried")
    private List<String> addresses = new ArrayList<>();

    @Option(name = "--credential", required = true, metaVar = "FILE", usage = "file with the operators' credential")
    private String credentialFile;

    /**
     * Opens a client for the given VMs.
     *
     * @return the client, to be closed by the caller
     * @throws CommandFailure if an address is invalid or the credential file cannot be read
     */
    OperatorClient openClient() {
        return new OperatorClient(
                addresses.stream().map(OperatorOptions::parseEndpoint).toList(), readCredential());
    }

    /**
     * Reads the credential file.
     *
     * @return the content without surrounding white space
     */
    private String readCredential() {
        try {
            return Files.readString(Path.of(credentialFile)).strip();
        } catch (IOException exception) {
            throw new CommandFailure(ExitCode.USAGE, "cannot read the credential file " + credentialFile);
        }
    }

    /**
     * Parses an endpoint.
     *
     * @param text the text, in the form {@code HOST:PORT}
     * @return the endpoint
     * @throws CommandFailure if the text has another form or the port is out of range
     */
    static Endpoint parseEndpoint(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (IndexOutOfBoundsException | IllegalArgumentException exception) {
            throw new CommandFailure(ExitCode.USAGE, "expected HOST:PORT instead of '" + text + "'");
        }
    }
}
