/** The settings of one process, read from a TOML file and validated as a whole before any port is opened. */
package org.borageproxy.settings;
