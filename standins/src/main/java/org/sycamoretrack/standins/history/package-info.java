/** Recorded observations of callers, trainers and endpoints, and the judgement of them. */
package org.sycamoretrack.standins.history;
