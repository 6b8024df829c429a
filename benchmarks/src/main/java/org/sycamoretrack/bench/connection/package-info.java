/** Models of engines and endpoints in virtual time. */
package org.sycamoretrack.bench.connection;
