package org.borageproxy.buffer;

/**
 * For whom bytes are buffered. An empty name has no bound of its own. Immutable and thread safe.
 *
 * @param caller the caller, by a name that is never logged, since it may be an API key
 * @param workspace the workspace of the caller
 * @param server the backend server to which the bytes are written
 * @param cost what a refusal costs the caller
 */
public record BufferOwner(String caller, String workspace, String server, RefusalCost cost) {

    /**
     * Returns the owner of bytes that are written to a backend server.
     *
     * @param name the server
     * @return a copy with the server
     */
    public BufferOwner withServer(String name) {
        return new BufferOwner(caller, workspace, name, cost);
    }
}
