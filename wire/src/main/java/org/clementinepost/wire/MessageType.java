package org.clementinepost.wire;

import java.io.IOException;
import org.clementinepost.api.peer.PeerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * How one type of message is written and read.
 *
 * @param number tells the types apart on the wire and is never given a second meaning
 * @param type the type of the message
 * @param writer writes the message's fields
 * @param reader reads them in the same order
 */
public record MessageType<T extends PeerMessage>(
    int number, Class<T> type, Writer<T> writer, Reader<T> reader) {

  /** Writes the fields of a message. */
  @FunctionalInterface
  public interface Writer<T> {
    /** Writes a value. */
    void write(MessagePacker packer, T value) throws IOException;
  }

  /** Reads the fields of a message. */
  @FunctionalInterface
  public interface Reader<T> {
    /** Reads a value. */
    T read(MessageUnpacker unpacker) throws IOException;
  }
}
