/** Propagates the control group's state to every VM by long polling and tracks its freshness. */
package org.borageproxy.spread;
