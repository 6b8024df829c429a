/** The routes of a deployment: which service a caller's request goes to, and what it may cost. */
package org.sycamoretrack.core.version.routing;
