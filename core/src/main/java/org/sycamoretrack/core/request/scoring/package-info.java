/**
 * Scoring of generated texts by a service: when a text is scored, how often a call is repeated, and
 * what its outcome means.
 */
package org.sycamoretrack.core.request.scoring;
