/** The callers' interface over HTTP. */
package org.borageproxy.entry;
