/** Sends orders to model engines and reads the states that they report. */
package org.borageproxy.engine;
