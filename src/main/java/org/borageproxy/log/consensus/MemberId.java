package org.borageproxy.log.consensus;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;

import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.LogProtocol.MemberIdentity;

/**
 * Identifies a member of the control group. A VM that lost its disk comes back under another incarnation and is another
 * member. Immutable and thread safe.
 *
 * @param name the VM's name
 * @param incarnation the number that tells members on the same VM apart
 */
public record MemberId(VmName name, long incarnation) {

    /** Separates the name from the incarnation in text. */
    private static final char SEPARATOR = '#';

    /** Source of the incarnations of members that join. */
    private static final SecureRandom RANDOM = new SecureRandom();

    /** The radix of incarnations in text. */
    private static final int RADIX = 16;

    /**
     * Returns the identity of an initial voter, equal on each VM that computes it.
     *
     * @param group the identity of the group
     * @param name the VM's name
     * @return the identity
     */
    public static MemberId initial(String group, VmName name) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(group.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(name.value().getBytes(StandardCharsets.UTF_8));
            return new MemberId(name, ByteBuffer.wrap(digest.digest()).getLong());
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /**
     * Returns a new identity for a VM without a past.
     *
     * @param name the VM's name
     * @return an identity that no other member has
     */
    public static MemberId random(VmName name) {
        return new MemberId(name, RANDOM.nextLong());
    }

    /**
     * Parses the text form.
     *
     * @param text the text that {@link #toString()} returns
     * @return the identity
     * @throws IllegalArgumentException if the text is no identity
     */
    public static MemberId parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        if (separator < 0) {
            throw new IllegalArgumentException("Not a member identity, expected name#incarnation: " + text);
        }
        long incarnation = Long.parseUnsignedLong(text.substring(separator + 1), RADIX);
        return new MemberId(new VmName(text.substring(0, separator)), incarnation);
    }

    /**
     * Decodes an identity.
     *
     * @param encoded the encoded identity
     * @return the identity
     */
    public static MemberId decode(MemberIdentity encoded) {
        return new MemberId(new VmName(encoded.getName()), encoded.getIncarnation());
    }

    /**
     * Encodes this identity.
     *
     * @return the encoded identity
     */
    public MemberIdentity encode() {
        return MemberIdentity.newBuilder()
                .setName(name.value())
                .setIncarnation(incarnation)
                .build();
    }

    @Override
    public String toString() {
        return name.value() + SEPARATOR + Long.toUnsignedString(incarnation, RADIX);
    }
}
