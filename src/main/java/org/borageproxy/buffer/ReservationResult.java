package org.borageproxy.buffer;

/** The result of a call for buffer memory. */
public sealed interface ReservationResult permits Reservation, Shortage {}
