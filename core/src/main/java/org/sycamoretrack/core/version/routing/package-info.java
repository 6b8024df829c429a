/** The routes of a deployment: the service, timeouts and retry rules of each request. */
package org.sycamoretrack.core.version.routing;
