package org.borageproxy.tree;

/**
 * The stored record of an API key. It contains a digest of the key, never the key itself. Immutable and thread safe.
 *
 * @param identity the public identity under which operators list and withdraw the key
 * @param digest the lower-case hexadecimal SHA-256 digest of the key
 * @param workspace the name of the workspace whose callers use the key
 * @param withdrawn whether the key was withdrawn; the records of withdrawn keys are never deleted
 */
public record KeyRecord(String identity, String digest, String workspace, boolean withdrawn) {}
