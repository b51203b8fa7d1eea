/** Which backend servers may receive requests: drained availability zones and allowed regions. */
package org.borageproxy.drain;
