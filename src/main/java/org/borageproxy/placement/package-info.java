/** Decides which models are loaded on which backend servers, and gives them the orders. */
package org.borageproxy.placement;
