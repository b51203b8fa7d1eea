/** The orders to model engines, and what model engines say of their own state. */
package org.borageproxy.engine;
