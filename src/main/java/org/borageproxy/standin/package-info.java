/** Simulated backend servers ("stand-ins") for tests and the demonstration, with fault injection over HTTP. */
package org.borageproxy.standin;
