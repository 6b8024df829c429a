/** Requests to the stand-ins: generated text, token streams and journals. */
package org.sycamoretrack.standins.request;
