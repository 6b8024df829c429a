/** Models and measures of weight rollouts. */
package org.sycamoretrack.bench.version;
