package org.borageproxy.claim;

/** The steps from the first request for a model or adapter to one that is served, in the order in which they occur. */
public enum ClaimLink {
    /** Requests count as demand. */
    COUNTED,
    /** No order can be planned now. */
    UNPLANNED,
    /** An engine was ordered to unload another model or adapter first. */
    MAKING_ROOM,
    /** An engine was ordered to load it. */
    ORDERED,
    /** The engine did not accept the order. */
    REJECTED,
    /** The engine is loading it. */
    ACCEPTED,
    /** An engine has it, and the entries were told so. */
    LOADED,
    /** The engine that had it was told to unload it, or is lost, before a request was sent there. */
    UNLOADED,
    /** A request for it got a slot at an engine. Ends the claim. */
    GRANTED,
    /** Nobody has asked for it for long. Ends the claim. */
    EXPIRED
}
