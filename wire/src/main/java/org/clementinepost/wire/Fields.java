package org.clementinepost.wire;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.IOException;
import org.clementinepost.api.Chunk;
import org.clementinepost.wire.MessageType.Reader;
import org.clementinepost.wire.MessageType.Writer;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads field types that several messages share. */
final class Fields {
  /** More elements than any message has; a larger count means a corrupt or malicious frame. */
  private static final int MAX_ELEMENTS = 1 << 16;

  private Fields() {}

  static <T> void writeAll(MessagePacker packer, Vector<T> values, Writer<T> writer)
      throws IOException {
    packer.packArrayHeader(values.size());
    for (T value : values) {
      writer.write(packer, value);
    }
  }

  static <T> Vector<T> readAll(MessageUnpacker unpacker, Reader<T> reader) throws IOException {
    int size = unpacker.unpackArrayHeader();
    if (size > MAX_ELEMENTS) {
      throw new IllegalArgumentException("array of " + size + " elements exceeds " + MAX_ELEMENTS);
    }
    Vector<T> values = Vector.empty();
    for (int i = 0; i < size; i++) {
      values = values.append(reader.read(unpacker));
    }
    return values;
  }

  static <T> void writeOption(MessagePacker packer, Option<T> value, Writer<T> writer)
      throws IOException {
    if (value.isEmpty()) {
      packer.packNil();
      return;
    }
    writer.write(packer, value.get());
  }

  static <T> Option<T> readOption(MessageUnpacker unpacker, Reader<T> reader) throws IOException {
    return unpacker.tryUnpackNil() ? Option.none() : Option.some(reader.read(unpacker));
  }

  static void writeChunk(MessagePacker packer, Chunk chunk) throws IOException {
    packer.packBinaryHeader(chunk.length());
    packer.addPayload(chunk.bytes());
  }

  static Chunk readChunk(MessageUnpacker unpacker, int maxBytes) throws IOException {
    int length = unpacker.unpackBinaryHeader();
    if (length > maxBytes) {
      throw new IllegalArgumentException("chunk of " + length + " bytes exceeds " + maxBytes);
    }
    return Chunk.wrap(unpacker.readPayload(length));
  }
}
