/** The settings tree and the effective configuration derived from it. */
package org.borageproxy.tree;
