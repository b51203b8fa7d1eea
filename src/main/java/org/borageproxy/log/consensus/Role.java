package org.borageproxy.log.consensus;

/** The role of a member in its current term. */
public enum Role {
    /** Replicates the log of a leader, or waits for one. */
    FOLLOWER,
    /** Requests pre-votes to find out whether an election would succeed, without starting a term. */
    PRE_CANDIDATE,
    /** Requests votes in a new term. */
    CANDIDATE,
    /** Appends entries and replicates them to the other members. */
    LEADER
}
