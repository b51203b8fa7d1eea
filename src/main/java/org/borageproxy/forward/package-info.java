/** Forwarding of callers' requests, unmodified, to backend servers, and relaying of the answers. */
package org.borageproxy.forward;
