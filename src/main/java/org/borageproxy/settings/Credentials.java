package org.borageproxy.settings;

/**
 * The secrets of a process. Their values are excluded from {@link #toString()}. Immutable and thread safe.
 *
 * @param interVm the secret that VMs share to authenticate to each other
 * @param operator the credential that operators present
 * @param announcer the credential that backend servers present when they announce themselves
 */
public record Credentials(String interVm, String operator, String announcer) {

    @Override
    public String toString() {
        return "Credentials[hidden]";
    }
}
