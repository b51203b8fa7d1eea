/**
 * Decides, when capacity does not suffice, which requests begin, wait or are refused. Pure functions of time and state.
 */
package org.borageproxy.scheduling;
