/** Announcements of backend servers, and the registry of backend servers on each VM. */
package org.borageproxy.membership;
