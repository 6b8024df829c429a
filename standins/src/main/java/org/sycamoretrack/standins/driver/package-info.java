/** Trainers, callers and the launcher of whole deployments, which drive the nodes. */
package org.sycamoretrack.standins.driver;
