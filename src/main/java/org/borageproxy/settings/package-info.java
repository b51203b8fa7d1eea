/** The settings of one process: TOML, checked whole before a port opens. */
package org.borageproxy.settings;
