/** Learns the speed of each backend server from its answers, relative to its peers. */
package org.borageproxy.routing.speed;
