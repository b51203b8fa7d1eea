package org.borageproxy.tree;

/**
 * A caller's key as it is stored: never the key itself. Immutable and thread safe.
 *
 * @param identity the public identity of the key, by which operators withdraw it
 * @param digest the lower-case hexadecimal SHA-256 digest of the key
 * @param workspace the name of the workspace that the key belongs to
 * @param withdrawn whether the key was withdrawn; a withdrawn key is kept for good
 */
public record KeyRecord(String identity, String digest, String workspace, boolean withdrawn) {}
