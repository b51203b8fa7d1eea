package org.borageproxy.wire;

/** The kinds of messages between VMs. Numbers are part of the wire format and never reused. */
public enum MessageKind {
    /** A consensus message between members of the replicated log. */
    LOG(1),
    /** A command to be replicated by the control group, answered with the state machine's reply. */
    CONTROL_COMMAND(2),
    /** A long poll for changes of the replicated state, or a read of a part of it. */
    STATE_WATCH(3),
    /** A credit request of an entry to the owner of a quota shard, or the hand-over of a shard to its next owner. */
    QUOTA(4),
    /** Gossip between VMs about the backend servers: updates and digests. */
    MEMBERSHIP(5),
    /** The demand for models and adapters that an entry has measured, sent to the placement owner. */
    DEMAND(6),
    /** A query for the retained events of a VM. */
    TIME_LINE(7),
    /** Reserved for queries of a VM's status; not in use. */
    STATUS(8),
    /** Reserved for reports and notices between entries and the placement owner; not in use. */
    PLACEMENT(9),
    /** A query or a change of the control group's members. */
    MEMBERS_CHANGE(10),
    /** A usage report of an entry to the coordinator, answered with rate shares and the usage of the other entries. */
    COORDINATION(11),
    /** An update that the coordinator pushes to the entries between reports. */
    COORDINATION_NOTICE(12),
    /** A periodic request of a VM to be admitted to the control group. */
    ADMISSION(13),
    /** A request of an entry for an execution slot on a model engine, answered by the coordinator. */
    SLOT(14),
    /** A query of an entry for the origin of a stream, answered by the coordinator. */
    STREAM_ORIGIN(15),
    /** A request to connect to a target and to pass the bytes of both directions on. */
    STREAM(16),
    /** A notice that a backend server wants no requests of the sender or the recipient for a time. */
    SERVER_REFUSAL(17);

    private final int number;

    /**
     * Creates a constant.
     *
     * @param number the stable number of the kind
     */
    MessageKind(int number) {
        this.number = number;
    }

    /**
     * Returns the number that identifies the kind in frames.
     *
     * @return the stable number, at least 1
     */
    public int number() {
        return number;
    }

    /**
     * Returns the kind with the given number.
     *
     * @param number the number in a frame
     * @return the kind
     * @throws IllegalArgumentException if no kind has this number, as in messages of a later release
     */
    public static MessageKind ofNumber(int number) {
        for (MessageKind kind : values()) {
            if (kind.number == number) {
                return kind;
            }
        }
        throw new IllegalArgumentException("Unknown message kind: " + number);
    }
}
