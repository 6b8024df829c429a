/** HTTP requests, responses and the interfaces for handling them. */
package org.sycamoretrack.transport.request;
