/** What lives as long as a version: the configuration in force and its spread between nodes. */
package org.sycamoretrack.daemon.version;
