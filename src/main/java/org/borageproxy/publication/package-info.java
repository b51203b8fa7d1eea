/** What operators publish as one document: routes, services, workspaces and limits. */
package org.borageproxy.publication;
