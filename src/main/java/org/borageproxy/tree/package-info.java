/** The settings tree and the effective configuration computed from it. */
package org.borageproxy.tree;
