package org.sycamoretrack.daemon.client;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** The store of model weights. Trainers publish versions to it and engines load from it. */
public interface WeightStore {
  /**
   * The versions of a model.
   *
   * @param latest the newest version, 0 when there is none
   * @param versions all versions that can be loaded, in ascending order
   */
  record Versions(long latest, List<Long> versions) {
    /** Copies the versions. */
    public Versions {
      versions = List.copyOf(versions);
    }
  }

  /**
   * Reads the versions of a model.
   *
   * @param model the model's name
   * @return the versions; fails with a {@link org.sycamoretrack.core.process.SycamoreException}
   */
  CompletionStage<Versions> versions(String model);
}
