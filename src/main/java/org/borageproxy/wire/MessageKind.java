package org.borageproxy.wire;

/** The kinds of messages between VMs. Numbers travel on the wire and are never reused. */
public enum MessageKind {
    /** A message of the replicated log between voters and learners. */
    LOG(1),
    /** A command for the control group's state machine, answered with its reply. */
    CONTROL_COMMAND(2),
    /** A request of an entry for the state after a revision. */
    STATE_WATCH(3),
    /** A request for credit, a settlement or a return, from an entry to a quota owner. */
    QUOTA(4),
    /** Announcements of backend servers, passed on between VMs. */
    MEMBERSHIP(5),
    /** A digest of the demand measured at an entry. */
    DEMAND(6),
    /** A query for the events that a VM keeps. */
    TIME_LINE(7),
    /** A query for a VM's status. */
    STATUS(8),
    /** Reports and notices about placement between entries and the placement owner. */
    PLACEMENT(9),
    /** A change of the control group's members. */
    MEMBERS_CHANGE(10),
    /** What an entry reports to the coordinator, answered with its share of what the fleet shares. */
    COORDINATION(11),
    /** What the coordinator tells entries unasked. */
    COORDINATION_NOTICE(12),
    /** A request of a VM to be taken into the control group. */
    ADMISSION(13),
    /** A request of an entry for a place at a model engine. */
    SLOT(14);

    /** The number on the wire. */
    private final int number;

    /**
     * Creates a kind.
     *
     * @param number the number on the wire
     */
    MessageKind(int number) {
        this.number = number;
    }

    /**
     * Returns the number on the wire.
     *
     * @return the number
     */
    public int number() {
        return number;
    }

    /**
     * Returns the kind with a number.
     *
     * @param number the number on the wire
     * @return the kind
     * @throws IllegalArgumentException if no kind has the number
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
