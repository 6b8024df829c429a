/** The command line program, and benchmarks of nodes and their roles. */
package org.sycamoretrack.bench.process;
