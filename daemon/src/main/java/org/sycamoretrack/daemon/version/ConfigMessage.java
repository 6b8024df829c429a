package org.sycamoretrack.daemon.version;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.sycamoretrack.core.version.Resource;
import org.sycamoretrack.core.version.ResourceKey;
import org.sycamoretrack.core.version.ResourceKind;
import org.sycamoretrack.daemon.connection.FieldReader;
import org.sycamoretrack.daemon.connection.FieldWriter;
import org.sycamoretrack.daemon.connection.MalformedFrameException;
import org.sycamoretrack.daemon.connection.PeerMessage;
import org.sycamoretrack.transport.process.Json;

/** The messages by which nodes propagate the configuration. */
sealed interface ConfigMessage extends PeerMessage {
  /**
   * Announces the version in force at the sender.
   *
   * @param version the version
   */
  record Announce(long version) implements ConfigMessage {
    static final String TYPE = "config.announce";

    static Announce read(FieldReader in) {
      return new Announce(in.integer("version"));
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      out.integer("version", version);
    }
  }

  /**
   * Requests the changes after a version.
   *
   * @param version the version in force at the sender
   */
  record Pull(long version) implements ConfigMessage {
    static final String TYPE = "config.pull";

    static Pull read(FieldReader in) {
      return new Pull(in.integer("version"));
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      out.integer("version", version);
    }
  }

  /**
   * Carries the changes after a version, or all resources.
   *
   * @param base the version to which the changes apply, or {@link #FULL}
   * @param version the version after the changes
   * @param changed the resources that were created or changed
   * @param removed the keys of the resources that were removed
   */
  record Update(long base, long version, List<Resource> changed, List<ResourceKey> removed)
      implements ConfigMessage {
    static final String TYPE = "config.update";

    /** The base of an update that contains all resources. */
    static final long FULL = -1;

    static Update read(FieldReader in) {
      List<Resource> changed = new ArrayList<>();
      List<ResourceKey> removed = new ArrayList<>();
      try {
        for (JsonNode resource : Json.parse(in.bytes("changed"))) {
          changed.add(ResourceCodec.read(resource));
        }
      } catch (IllegalArgumentException e) {
        throw new MalformedFrameException(
            "malformed resource in a configuration update: " + e.getMessage());
      }
      for (String key : in.strings("removed")) {
        removed.add(readKey(key));
      }
      return new Update(in.integer("base"), in.integer("version"), changed, removed);
    }

    private static ResourceKey readKey(String key) {
      int slash = key.indexOf('/');
      ResourceKind kind =
          ResourceKind.ofWireName(key.substring(0, Math.max(0, slash)))
              .orElseThrow(() -> new MalformedFrameException("unknown resource kind in " + key));
      return new ResourceKey(kind, key.substring(slash + 1));
    }

    @Override
    public String type() {
      return TYPE;
    }

    @Override
    public void writeFields(FieldWriter out) {
      out.integer("base", base)
          .integer("version", version)
          .bytes("changed", Json.toBytes(ResourceCodec.writeAll(changed)))
          .strings("removed", removed.stream().map(ResourceKey::toString).toList());
    }
  }
}
