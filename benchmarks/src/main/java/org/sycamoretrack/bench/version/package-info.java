/** Simulations and benchmarks of weight rollouts. */
package org.sycamoretrack.bench.version;
