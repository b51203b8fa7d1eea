package org.borageproxy.forward;

import org.borageproxy.wire.proto.CoordinationProtocol.SlotRequest;

/**
 * What a {@link SlotRequest} tells about its caller. Immutable and thread safe.
 *
 * @param workspace the workspace of the caller's API key; an empty string without one or from an earlier build
 * @param identity the identity of the request; an empty string from an earlier build
 * @param caller a hash of the caller's API key; zero without one or from an earlier build
 */
record SlotAttributes(String workspace, String identity, long caller) {

    static SlotAttributes of(BufferedRequest buffered) {
        return new SlotAttributes(
                buffered.workspace().map(workspace -> workspace.name()).orElse(""),
                buffered.metadata().requestIdentity(),
                buffered.metadata().apiKey().map(SlotAttributes::hash).orElse(0L));
    }

    private static long hash(String text) {
        long hash = 1;
        for (int index = 0; index < text.length(); index++) {
            hash = hash * 0x100000001b3L + text.charAt(index);
        }
        return hash;
    }

    static SlotAttributes read(SlotRequest request) {
        return new SlotAttributes(request.getWorkspace(), request.getIdentity(), request.getCaller());
    }

    /** Adds the attributes to a request. */
    void addTo(SlotRequest.Builder request) {
        request.setWorkspace(workspace).setIdentity(identity).setCaller(caller);
    }
}
