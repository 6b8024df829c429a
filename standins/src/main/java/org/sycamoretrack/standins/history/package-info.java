/** Records observations of callers, trainers and endpoints, and checks invariants on them. */
package org.sycamoretrack.standins.history;
