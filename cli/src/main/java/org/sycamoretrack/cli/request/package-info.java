/** The commands, their options, and the access to nodes and output that they share. */
package org.sycamoretrack.cli.request;
