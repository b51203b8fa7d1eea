/** Benchmarks of production code with real disks and clocks. */
package org.borageproxy.bench;
