/** What lives as long as a version: configuration, selectors, weight versions and their rollout. */
package org.sycamoretrack.core.version;
