package org.borageproxy.forward;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import org.borageproxy.wire.proto.CoordinationProtocol.SlotRequest;

/**
 * What a {@link SlotRequest} tells about its caller. The fields are written and read as unknown fields, which earlier
 * builds ignore; {@code coordination.proto} names their numbers. Immutable and thread safe.
 *
 * @param workspace the workspace of the caller's API key; an empty string without one or from an earlier build
 * @param identity the identity of the request; an empty string from an earlier build
 * @param caller a hash of the caller's API key; zero without one or from an earlier build
 */
record SlotAttributes(String workspace, String identity, long caller) {

    private static final int WORKSPACE_FIELD = 17;
    private static final int IDENTITY_FIELD = 18;
    private static final int CALLER_FIELD = 19;

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
        UnknownFieldSet fields = request.getUnknownFields();
        List<Long> callers = fields.getField(CALLER_FIELD).getFixed64List();
        return new SlotAttributes(
                text(fields, WORKSPACE_FIELD), text(fields, IDENTITY_FIELD), callers.isEmpty() ? 0 : callers.get(0));
    }

    private static String text(UnknownFieldSet fields, int number) {
        List<ByteString> values = fields.getField(number).getLengthDelimitedList();
        return values.isEmpty() ? "" : values.get(0).toStringUtf8();
    }

    /** Adds the attributes to a request. */
    void addTo(SlotRequest.Builder request) {
        request.setUnknownFields(UnknownFieldSet.newBuilder()
                .addField(WORKSPACE_FIELD, field(workspace))
                .addField(IDENTITY_FIELD, field(identity))
                .addField(
                        CALLER_FIELD,
                        UnknownFieldSet.Field.newBuilder().addFixed64(caller).build())
                .build());
    }

    private static UnknownFieldSet.Field field(String value) {
        return UnknownFieldSet.Field.newBuilder()
                .addLengthDelimited(ByteString.copyFrom(value, StandardCharsets.UTF_8))
                .build();
    }
}
