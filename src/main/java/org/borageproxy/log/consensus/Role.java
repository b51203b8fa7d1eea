package org.borageproxy.log.consensus;

/** What a member does in its term. */
public enum Role {
    /** Takes entries from a leader, or waits for one. */
    FOLLOWER,
    /** Asks whether an election would succeed, without starting a term. */
    PRE_CANDIDATE,
    /** Asks for votes in a term of its own. */
    CANDIDATE,
    /** Appends entries and sends them to the other members. */
    LEADER
}
