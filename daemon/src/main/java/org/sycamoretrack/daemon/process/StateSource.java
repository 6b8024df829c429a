package org.sycamoretrack.daemon.process;

import com.fasterxml.jackson.databind.JsonNode;

/** A component that contributes a section to the state dump. */
public interface StateSource {
  /** Returns the name of the section. */
  String name();

  /**
   * Returns the current state, which may be slightly out of date. Called on an event loop; must not
   * block.
   */
  JsonNode state();
}
