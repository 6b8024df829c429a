package org.sycamoretrack.daemon.farend;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's object store. Its stages fail with a {@link
 * org.sycamoretrack.core.process.SycamoreException} as those of {@link TableStore} do.
 */
public interface ObjectStore {
  /**
   * Writes an object, replacing one of the same key.
   *
   * @param key the key
   * @param bytes the content, which must not be changed afterwards
   * @return done when it is stored
   */
  CompletionStage<Void> put(String key, byte[] bytes);

  /**
   * Writes an object unless one of the same key exists.
   *
   * @param key the key
   * @param bytes the content, which must not be changed afterwards
   * @return true when it was stored, false when the key was taken
   */
  CompletionStage<Boolean> putIfAbsent(String key, byte[] bytes);

  /**
   * Reads an object.
   *
   * @param key the key
   * @return the content, empty when there is none
   */
  CompletionStage<Optional<byte[]>> get(String key);

  /**
   * Deletes an object; one that doesn't exist is no error.
   *
   * @param key the key
   * @return done when it is gone
   */
  CompletionStage<Void> delete(String key);

  /**
   * Lists keys.
   *
   * @param prefix what they begin with, empty for all
   * @return the keys in order
   */
  CompletionStage<List<String>> list(String prefix);
}
