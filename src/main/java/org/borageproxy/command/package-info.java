/** The command line: one class per command, each run by name from one executable. */
package org.borageproxy.command;
