/** The command line interface: one class per command, selected by name. */
package org.borageproxy.command;
