/** Small backend servers for tests and the demonstration, with faults that are switched on over HTTP. */
package org.borageproxy.standin;
