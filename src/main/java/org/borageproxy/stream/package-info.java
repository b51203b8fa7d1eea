/** Which parts of backend servers' answers belong to a caller's event stream. */
package org.borageproxy.stream;
