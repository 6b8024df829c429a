/** Stand-ins of the platform, engines and services, their command line and fault injection. */
package org.sycamoretrack.standins.process;
