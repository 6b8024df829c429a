/** Simulated engines and endpoints in virtual time, and a load generator. */
package org.sycamoretrack.bench.connection;
