/** Names, formats and calls of the users' platform, translated at this boundary. Nothing here decides. */
package org.borageproxy.platform;
