/** Weight versions of the models: the weight store and the weights of an engine. */
package org.sycamoretrack.standins.version;
