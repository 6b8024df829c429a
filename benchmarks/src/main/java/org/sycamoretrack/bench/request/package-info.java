/** Simulated requests, and benchmarks of admission, endpoint selection and stragglers. */
package org.sycamoretrack.bench.request;
