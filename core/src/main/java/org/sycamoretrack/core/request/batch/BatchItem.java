package org.sycamoretrack.core.request.batch;

import java.util.Map;

/**
 * One request of a batch. Immutable; the body must not be changed.
 *
 * @param index its place in the submission, from 0
 * @param id its id, unique in the batch
 * @param path the path that it is sent to
 * @param headers its headers
 * @param body its body
 * @param model the model that it asks for, empty for none
 * @param group the items that share its prompt and count as one sample group, empty for none
 * @param lengthHint how many tokens the submitter expects it to make, 0 when not known
 */
@SuppressWarnings("ArrayRecordComponent")
public record BatchItem(
    int index,
    String id,
    String path,
    Map<String, String> headers,
    byte[] body,
    String model,
    String group,
    int lengthHint) {
  /** Copies the headers. */
  public BatchItem {
    headers = Map.copyOf(headers);
  }
}
