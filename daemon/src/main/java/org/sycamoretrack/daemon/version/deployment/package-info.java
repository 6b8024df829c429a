/** What a node believes of its deployment, watched in the platform's store. */
package org.sycamoretrack.daemon.version.deployment;
