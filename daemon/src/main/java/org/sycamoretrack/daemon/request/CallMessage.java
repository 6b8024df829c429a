package org.sycamoretrack.daemon.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.daemon.connection.FieldReader;
import org.sycamoretrack.daemon.connection.FieldWriter;
import org.sycamoretrack.daemon.connection.PeerMessage;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;

/** The peer messages that forward a call whose response is not streamed. */
sealed interface CallMessage extends PeerMessage {
  /** Returns the id of the call, unique per sender. */
  long id();

  /**
   * A forwarded call.
   *
   * @param id the id
   * @param api the name of the API that handles the call
   * @param method the HTTP method
   * @param target the path and query
   * @param headers the headers
   * @param body the body
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Request(
      long id, String api, String method, String target, HttpHeaders headers, byte[] body)
      implements CallMessage {
    static final String TYPE = "call.request";

    static Request of(long id, String api, HttpExchange exchange) {
      return new Request(
          id, api, exchange.method(), exchange.target(), exchange.headers(), exchange.body());
    }

    static Request read(FieldReader fields) {
      HttpHeaders headers = new DefaultHttpHeaders();
      List<String> flat = fields.strings("headers");
      for (int i = 0; i + 1 < flat.size(); i += 2) {
        headers.add(flat.get(i), flat.get(i + 1));
      }
      return new Request(
          fields.integer("id"),
          fields.string("api"),
          fields.string("method"),
          fields.string("target"),
          headers,
          fields.bytes("body"));
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      List<String> flat = new ArrayList<>();
      headers.forEach(
          header -> {
            flat.add(header.getKey());
            flat.add(header.getValue());
          });
      out.integer("id", id)
          .string("api", api)
          .string("method", method)
          .string("target", target)
          .strings("headers", flat)
          .bytes("body", body);
    }
  }

  /**
   * The response to a forwarded call.
   *
   * @param id the id
   * @param response the response
   */
  record Response(long id, HttpResponse response) implements CallMessage {
    static final String TYPE = "call.answer";

    static Response read(FieldReader fields) {
      Map<String, String> headers = new HashMap<>();
      List<String> flat = fields.strings("headers");
      for (int i = 0; i + 1 < flat.size(); i += 2) {
        headers.put(flat.get(i), flat.get(i + 1));
      }
      HttpResponse response =
          new HttpResponse(fields.int32("status"), headers, fields.bytes("body"));
      return new Response(fields.integer("id"), response);
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      List<String> flat = new ArrayList<>();
      response
          .headers()
          .forEach(
              (name, value) -> {
                flat.add(name);
                flat.add(value);
              });
      out.integer("id", id)
          .integer("status", response.status())
          .strings("headers", flat)
          .bytes("body", response.body());
    }
  }

  /**
   * Cancels a forwarded call.
   *
   * @param id the id
   */
  record Cancel(long id) implements CallMessage {
    static final String TYPE = "call.cancel";

    static Cancel read(FieldReader fields) {
      return new Cancel(fields.integer("id"));
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      out.integer("id", id);
    }
  }
}
