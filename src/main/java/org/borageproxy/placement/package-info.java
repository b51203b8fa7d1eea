/** Decides which models are loaded on which backend servers, and orders the servers to load and unload them. */
package org.borageproxy.placement;
