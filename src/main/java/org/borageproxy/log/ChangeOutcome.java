package org.borageproxy.log;

import org.borageproxy.log.consensus.MemberChange;

/** The outcome of a membership change. Variants are immutable and thread safe. */
public sealed interface ChangeOutcome {

    /**
     * The change was committed.
     *
     * @param index the log index of the entry that holds the change
     */
    record Committed(long index) implements ChangeOutcome {}

    /**
     * The change was not appended to the log and will not take effect.
     *
     * @param refusal the reason
     */
    record Refused(MemberChange.Refusal refusal) implements ChangeOutcome {}

    /** The outcome was not determined before the deadline; the change may still be committed. */
    record Unknown() implements ChangeOutcome {}
}
