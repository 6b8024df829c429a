package org.sycamoretrack.daemon.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.request.HttpResponse;

/** Calls the object store over HTTP. */
public final class HttpObjectStore implements ObjectStore {
  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;
  private static final int NOT_FOUND = 404;
  private static final int PRECONDITION_FAILED = 412;

  private final ExternalServiceCalls calls;
  private final InetSocketAddress address;

  /**
   * Creates a client.
   *
   * @param client sends the calls
   * @param address the address of the object store
   * @param timeoutMs the timeout for each call, in milliseconds
   */
  public HttpObjectStore(HttpClient client, InetSocketAddress address, int timeoutMs) {
    this.calls =
        new ExternalServiceCalls(client, "object store", ErrorCode.PLATFORM_UNAVAILABLE, timeoutMs);
    this.address = address;
  }

  @Override
  public CompletionStage<Void> put(String key, byte[] bytes) {
    return calls.call(
        calls.request("PUT", address, target(key)).body(bytes).build(),
        response -> requireSuccess(response));
  }

  @Override
  public CompletionStage<Boolean> putIfAbsent(String key, byte[] bytes) {
    return calls.call(
        calls.request("PUT", address, target(key)).header("if-none-match", "*").body(bytes).build(),
        response -> {
          if (response.status() == PRECONDITION_FAILED) {
            return false;
          }
          requireSuccess(response);
          return true;
        });
  }

  @Override
  public CompletionStage<Optional<byte[]>> get(String key) {
    return calls.call(
        calls.request("GET", address, target(key)).build(),
        response -> {
          if (response.status() == NOT_FOUND) {
            return Optional.empty();
          }
          calls.requireOk(response);
          return Optional.of(response.body());
        });
  }

  @Override
  public CompletionStage<Void> delete(String key) {
    return calls.call(
        calls.request("DELETE", address, target(key)).build(),
        response -> response.status() == NOT_FOUND ? null : requireSuccess(response));
  }

  @Override
  public CompletionStage<List<String>> list(String prefix) {
    String target = "/objects?prefix=" + ExternalServiceCalls.encode(prefix);
    return calls.call(
        calls.request("GET", address, target).build(),
        response -> {
          calls.requireOk(response);
          return readKeys(response.json(), prefix);
        });
  }

  private static List<String> readKeys(JsonNode body, String prefix) {
    List<String> keys = new ArrayList<>();
    for (JsonNode key : JsonFields.requireArray(body, "keys")) {
      if (!key.isTextual() || !key.textValue().startsWith(prefix)) {
        throw new IllegalArgumentException("a listed key doesn't start with the prefix");
      }
      keys.add(key.textValue());
    }
    keys.sort(null);
    return keys;
  }

  private Void requireSuccess(HttpResponse response) {
    if (response.status() < FIRST_SUCCESS || response.status() >= FIRST_REDIRECT) {
      throw calls.unexpectedStatus(response);
    }
    return null;
  }

  private static String target(String key) {
    return "/objects/" + ExternalServiceCalls.encode(key);
  }
}
