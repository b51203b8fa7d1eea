package org.borageproxy.log;

import org.borageproxy.log.consensus.MemberChange;

/** The outcome of a change of members. Variants are immutable and thread safe. */
public sealed interface ChangeOutcome {

    /**
     * The change is committed.
     *
     * @param index the index of the change
     */
    record Committed(long index) implements ChangeOutcome {}

    /**
     * The change was not made and will not be.
     *
     * @param refusal why
     */
    record Refused(MemberChange.Refusal refusal) implements ChangeOutcome {}

    /** The change may or may not be made later. */
    record Unknown() implements ChangeOutcome {}
}
