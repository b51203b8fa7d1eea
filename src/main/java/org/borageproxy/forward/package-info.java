/** Requests of callers, passed on to backend servers as they came, and the answers passed back. */
package org.borageproxy.forward;
