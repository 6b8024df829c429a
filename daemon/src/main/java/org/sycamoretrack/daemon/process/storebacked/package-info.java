/** A node process that keeps its state in the platform's store. */
package org.sycamoretrack.daemon.process.storebacked;
