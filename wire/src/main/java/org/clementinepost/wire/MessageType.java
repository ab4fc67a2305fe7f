package org.clementinepost.wire;

import java.io.IOException;
import org.clementinepost.api.peer.PeerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The type number of a message class, with the writer and reader of its fields.
 *
 * @param number the number that identifies the type on the wire; numbers are never reused
 * @param type the class of the message
 * @param writer writes the fields of the message
 * @param reader reads the fields in the same order
 */
public record MessageType<T extends PeerMessage>(
    int number, Class<T> type, Writer<T> writer, Reader<T> reader) {

  /** Writes the fields of a message, or a value within it. */
  @FunctionalInterface
  public interface Writer<T> {
    /** Writes a value. */
    void write(MessagePacker packer, T value) throws IOException;
  }

  /** Reads the fields of a message, or a value within it. */
  @FunctionalInterface
  public interface Reader<T> {
    /** Reads a value. */
    T read(MessageUnpacker unpacker) throws IOException;
  }
}
