/** The endpoints of a deployment, as the platform lists them. */
package org.sycamoretrack.core.version.fleet;
