package org.sycamoretrack.core.request.batch;

import java.util.Map;

/**
 * One request of a batch. Immutable; the body must not be modified.
 *
 * @param index the position of the item in the submission, from 0
 * @param id the id of the item, unique in the batch
 * @param path the path of the request
 * @param headers the headers of the request
 * @param body the body of the request
 * @param model the requested model, empty for none
 * @param group the name of the sample group, whose items share a prompt; empty for none
 * @param lengthHint the length of the response in tokens as estimated by the submitter, 0 if
 *     unknown
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
