/** Plain requests on their way from a caller to an endpoint and back. */
package org.sycamoretrack.daemon.request.forward;
