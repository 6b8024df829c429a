package org.sycamoretrack.daemon.process.storebacked;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;

/**
 * The requests whose responses depend on the store. Those that are still open at the end of a
 * planned stop are answered then, so that none ends without a response.
 *
 * <p>Confined to the traffic loop.
 */
public final class OpenRequests {
  private final Set<Runnable> endings = Collections.newSetFromMap(new IdentityHashMap<>());

  /**
   * Adds a request.
   *
   * @param ending answers the request if it is still open at the end of a planned stop
   */
  public void add(Runnable ending) {
    endings.add(ending);
  }

  /**
   * Removes a request that is about to be answered.
   *
   * @param ending the action that it was added with
   * @return whether it was open
   */
  public boolean remove(Runnable ending) {
    return endings.remove(ending);
  }

  /** Answers the open requests. */
  void endAll() {
    List<Runnable> open = List.copyOf(endings);
    endings.clear();
    open.forEach(Runnable::run);
  }
}
