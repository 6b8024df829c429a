/** What lives as long as one HTTP request. */
package org.sycamoretrack.transport.request;
