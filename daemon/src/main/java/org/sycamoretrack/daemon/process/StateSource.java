package org.sycamoretrack.daemon.process;

import com.fasterxml.jackson.databind.JsonNode;

/** A part of the process that can show its state. */
public interface StateSource {
  /** Returns the name under which the state is shown. */
  String name();

  /**
   * Returns the state. Called on an event loop and must not block; it may be slightly out of date.
   */
  JsonNode state();
}
