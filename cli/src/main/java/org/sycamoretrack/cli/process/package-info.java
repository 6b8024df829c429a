/** The command line program, its context file and its exit codes. */
package org.sycamoretrack.cli.process;
