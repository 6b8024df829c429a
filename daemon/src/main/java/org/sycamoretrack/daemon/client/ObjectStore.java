package org.sycamoretrack.daemon.client;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's object store. Stages fail with a {@link
 * org.sycamoretrack.core.process.SycamoreException}, as in {@link TableStore}.
 */
public interface ObjectStore {
  /**
   * Writes an object, replacing an existing one.
   *
   * @param key the key
   * @param bytes the content, which must not be changed afterwards
   * @return a stage that completes when the object is stored
   */
  CompletionStage<Void> put(String key, byte[] bytes);

  /**
   * Writes an object unless the key exists.
   *
   * @param key the key
   * @param bytes the content, which must not be changed afterwards
   * @return true when the object was stored, false when the key existed
   */
  CompletionStage<Boolean> putIfAbsent(String key, byte[] bytes);

  /**
   * Reads an object.
   *
   * @param key the key
   * @return the content, or empty when the object does not exist
   */
  CompletionStage<Optional<byte[]>> get(String key);

  /**
   * Deletes an object if it exists.
   *
   * @param key the key
   * @return a stage that completes when the object is deleted
   */
  CompletionStage<Void> delete(String key);

  /**
   * Lists keys.
   *
   * @param prefix the prefix of the keys, empty for all
   * @return the keys in ascending order
   */
  CompletionStage<List<String>> list(String prefix);
}
