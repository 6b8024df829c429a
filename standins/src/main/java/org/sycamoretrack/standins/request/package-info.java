/** What lives as long as one request or token stream. */
package org.sycamoretrack.standins.request;
