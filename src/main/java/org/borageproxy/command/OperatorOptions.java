package org.borageproxy.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.borageproxy.settings.Endpoint;
import org.kohsuke.args4j.Option;

/** The options of every command that talks to VMs. Filled by the parser, then read by one thread. */
class OperatorOptions {

    /** The operators' endpoints of VMs, tried in order. */
    @Option(
            name = "--vm",
            required = true,
            metaVar = "HOST:PORT",
            usage = "operators' address of a VM; give it again for others, which are tried in order")
    private List<String> vms = new ArrayList<>();

    /** The file with the operators' credential. */
    @Option(name = "--credential", required = true, metaVar = "FILE", usage = "file with the operators' credential")
    private String credentialFile;

    /**
     * Opens a client.
     *
     * @return the client
     */
    OperatorClient client() {
        return new OperatorClient(vms.stream().map(OperatorOptions::endpoint).toList(), credential());
    }

    /**
     * Reads the credential.
     *
     * @return the credential
     */
    private String credential() {
        try {
            return Files.readString(Path.of(credentialFile)).strip();
        } catch (IOException exception) {
            throw new CommandFailure(ExitCode.USAGE, "cannot read the credential file " + credentialFile);
        }
    }

    /**
     * Parses an endpoint.
     *
     * @param text the host and the port
     * @return the endpoint
     */
    static Endpoint endpoint(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (IndexOutOfBoundsException | IllegalArgumentException exception) {
            throw new CommandFailure(ExitCode.USAGE, "expected HOST:PORT instead of '" + text + "'");
        }
    }
}
