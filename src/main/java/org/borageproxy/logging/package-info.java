/** The log lines of a process: their bounded queue, and their order when a request is explained. */
package org.borageproxy.logging;
