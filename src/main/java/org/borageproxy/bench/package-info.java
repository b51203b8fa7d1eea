/** Benchmarks that run the product's own parts on real disks and clocks. */
package org.borageproxy.bench;
