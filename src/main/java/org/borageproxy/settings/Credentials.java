package org.borageproxy.settings;

/**
 * The secrets of a process, read from files. Never printed. Immutable and thread safe.
 *
 * @param vms the secret between VMs
 * @param operator the credential of operators
 * @param announcer the credential of backend servers
 */
public record Credentials(String vms, String operator, String announcer) {

    @Override
    public String toString() {
        return "Credentials[hidden]";
    }
}
