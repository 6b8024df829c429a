/** What lives as long as one request, sample or step: the interfaces and the runs behind them. */
package org.sycamoretrack.daemon.request;
