/** What lives as long as one HTTP connection. */
package org.sycamoretrack.transport.connection;
