/** What lives as long as a connection. */
package org.sycamoretrack.standins.connection;
