/** The configuration document published by operators: routes, services, workspaces and limits. */
package org.borageproxy.publication;
