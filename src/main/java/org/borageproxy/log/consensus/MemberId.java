package org.borageproxy.log.consensus;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;

import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.LogProtocol.MemberIdentity;

/**
 * Identifies a member of the control group. A VM that lost its disk returns with another incarnation, as another
 * member. Immutable and thread safe.
 *
 * @param name the name of the VM
 * @param incarnation a number that distinguishes successive members on the same VM
 */
public record MemberId(VmName name, long incarnation) {

    private static final char SEPARATOR = '#';

    private static final SecureRandom RANDOM = new SecureRandom();

    private static final int RADIX = 16;

    /**
     * Returns the identity of an initial voter. It is derived from the arguments, so that each VM computes the same
     * one.
     *
     * @param group the identity of the group
     * @param name the name of the VM
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
     * Returns a new identity, for a VM that starts with an empty disk.
     *
     * @param name the name of the VM
     * @return an identity with a random 64-bit incarnation
     */
    public static MemberId random(VmName name) {
        return new MemberId(name, RANDOM.nextLong());
    }

    /**
     * Returns whether a text has the form that {@link #toString()} returns, as opposed to a bare VM name.
     *
     * @param text the text
     * @return {@code true} if the text contains the separator of name and incarnation
     */
    public static boolean isIdentity(String text) {
        return text.indexOf(SEPARATOR) >= 0;
    }

    /**
     * Parses the form that {@link #toString()} returns.
     *
     * @param text the name and the hexadecimal incarnation, separated by a number sign
     * @return the identity
     * @throws IllegalArgumentException if the text has another form
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
     * Decodes an identity from its protobuf message.
     *
     * @param encoded the message
     * @return the identity
     */
    public static MemberId decode(MemberIdentity encoded) {
        return new MemberId(new VmName(encoded.getName()), encoded.getIncarnation());
    }

    /**
     * Encodes this identity as a protobuf message.
     *
     * @return the message
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
