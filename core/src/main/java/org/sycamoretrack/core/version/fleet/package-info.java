/** The endpoints that are in service, as the platform lists them. */
package org.sycamoretrack.core.version.fleet;
