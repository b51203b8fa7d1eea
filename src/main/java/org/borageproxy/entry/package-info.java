/** The HTTP interface for callers. */
package org.borageproxy.entry;
