/** What lives as long as one command: its parameters, its calls and what it prints. */
package org.sycamoretrack.cli.request;
