/** Selection of the backend server that runs a request. */
package org.borageproxy.routing;
