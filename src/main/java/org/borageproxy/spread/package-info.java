/** Spreads the control group's state to every VM and keeps it fresh there. */
package org.borageproxy.spread;
