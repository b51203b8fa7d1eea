/** Account of the memory that a VM uses for request bodies and answers, and the decisions under back pressure. */
package org.borageproxy.buffer;
