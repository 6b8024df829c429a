/** Versioned state: the configuration with its selectors, and the rollout of model weights. */
package org.sycamoretrack.core.version;
