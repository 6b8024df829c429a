package org.sycamoretrack.daemon.connection;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;

/**
 * Writes the named fields of one message as a MessagePack map.
 *
 * <p>A field with a null value is omitted. The size of the map precedes its fields but is known
 * only after the last one, so the fields are packed into a buffer and counted first.
 */
public final class FieldWriter {
  private final MessagePacker packer;
  private int count;

  FieldWriter(MessagePacker packer) {
    this.packer = packer;
  }

  int count() {
    return count;
  }

  /**
   * Writes a string.
   *
   * @param name the name of the field
   * @param value the value, or null to omit the field
   * @return this writer
   */
  public FieldWriter string(String name, String value) {
    return value == null ? this : field(name, () -> packer.packString(value));
  }

  /**
   * Writes an integer.
   *
   * @param name the name of the field
   * @param value the value
   * @return this writer
   */
  public FieldWriter integer(String name, long value) {
    return field(name, () -> packer.packLong(value));
  }

  /**
   * Writes a floating-point number.
   *
   * @param name the name of the field
   * @param value the value
   * @return this writer
   */
  public FieldWriter number(String name, double value) {
    return field(name, () -> packer.packDouble(value));
  }

  /**
   * Writes a boolean.
   *
   * @param name the name of the field
   * @param value the value
   * @return this writer
   */
  public FieldWriter bool(String name, boolean value) {
    return field(name, () -> packer.packBoolean(value));
  }

  /**
   * Writes bytes.
   *
   * @param name the name of the field
   * @param value the bytes, or null to omit the field
   * @return this writer
   */
  public FieldWriter bytes(String name, byte[] value) {
    return value == null
        ? this
        : field(name, () -> packer.packBinaryHeader(value.length).writePayload(value));
  }

  /**
   * Writes a list of strings.
   *
   * @param name the name of the field
   * @param values the strings
   * @return this writer
   */
  public FieldWriter strings(String name, Collection<String> values) {
    return field(
        name,
        () -> {
          packer.packArrayHeader(values.size());
          for (String value : values) {
            packer.packString(value);
          }
        });
  }

  /**
   * Writes a list of integers.
   *
   * @param name the name of the field
   * @param values the integers
   * @return this writer
   */
  public FieldWriter integers(String name, long... values) {
    return field(
        name,
        () -> {
          packer.packArrayHeader(values.length);
          for (long value : values) {
            packer.packLong(value);
          }
        });
  }

  /**
   * Writes a nested map.
   *
   * @param name the name of the field
   * @param value writes the fields of the map, or null to omit the field
   * @return this writer
   */
  public FieldWriter map(String name, FieldSource value) {
    return value == null ? this : field(name, () -> packMap(value));
  }

  /**
   * Writes a list of maps.
   *
   * @param name the name of the field
   * @param values the sources of the maps, each of which writes the fields of one map
   * @return this writer
   */
  public FieldWriter maps(String name, Collection<? extends FieldSource> values) {
    return field(
        name,
        () -> {
          packer.packArrayHeader(values.size());
          for (FieldSource value : values) {
            packMap(value);
          }
        });
  }

  private void packMap(FieldSource value) throws IOException {
    try (MessageBufferPacker nested = MessagePack.newDefaultBufferPacker()) {
      FieldWriter writer = new FieldWriter(nested);
      value.writeFields(writer);
      packer.packMapHeader(writer.count());
      packer.addPayload(nested.toByteArray());
    }
  }

  private FieldWriter field(String name, ValuePacker value) {
    try {
      packer.packString(name);
      value.pack();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    count++;
    return this;
  }

  /** Packs one value. */
  private interface ValuePacker {
    void pack() throws IOException;
  }
}
