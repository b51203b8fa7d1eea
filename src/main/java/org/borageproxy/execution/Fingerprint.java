package org.borageproxy.execution;

/**
 * Identifies equal requests of one workspace across VMs and resends. Immutable and thread safe.
 *
 * @param value the hexadecimal digest of workspace, path and body
 */
public record Fingerprint(String value) {}
