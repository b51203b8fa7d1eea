/** The HTTP interface by which operators change and read the settings tree, API keys and VMs. */
package org.borageproxy.operator;
