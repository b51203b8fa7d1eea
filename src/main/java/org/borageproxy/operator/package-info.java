/** The operators' HTTP interface. */
package org.borageproxy.operator;
