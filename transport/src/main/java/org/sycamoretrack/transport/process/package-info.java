/** JSON conversion with a mapper that the whole process shares. */
package org.sycamoretrack.transport.process;
