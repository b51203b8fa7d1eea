/** Creates the components of one VM, connects them, and starts and stops them in order. */
package org.borageproxy.server;
