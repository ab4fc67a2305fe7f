package org.clementinepost.wire;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.peer.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the messages between nodes.
 *
 * <p>Each family of messages defines its own types, so that a family can be added without changes
 * to the others. Invalid frames result in a {@link ResultCode#PEER_PROTOCOL} failure.
 */
public final class PeerCodec {
  private final Map<Integer, MessageType<?>> byNumber;
  private final Map<Class<?>, MessageType<?>> byClass;

  private PeerCodec(Vector<MessageType<?>> types) {
    this.byNumber = types.toMap(MessageType::number, type -> type);
    this.byClass = HashMap.ofEntries(types.map(type -> io.vavr.Tuple.of(type.type(), type)));
    if (byNumber.size() != types.size()) {
      throw new IllegalArgumentException("two message types have the same number");
    }
  }

  /** Returns a codec for the given message types. */
  public static PeerCodec of(Vector<MessageType<?>> types) {
    return new PeerCodec(types);
  }

  /** Returns a codec for all messages that nodes exchange. */
  public static PeerCodec standard() {
    return of(
        Vector.<MessageType<?>>empty()
            .appendAll(LinkMessageTypes.all())
            .appendAll(StreamMessageTypes.all())
            .appendAll(DirectoryMessageTypes.all())
            .appendAll(MembershipMessageTypes.all())
            .appendAll(QuotaMessageTypes.all())
            .appendAll(HostReportMessageTypes.all())
            .appendAll(FeedMessageTypes.all())
            .appendAll(LoadMessageTypes.all()));
  }

  /** Encodes a message. */
  public byte[] encode(PeerMessage message) {
    MessageType<?> type =
        byClass
            .get(message.getClass())
            .getOrElseThrow(
                () -> new IllegalArgumentException("no message type for " + message.getClass()));
    return encode(type, message);
  }

  private static <T extends PeerMessage> byte[] encode(MessageType<T> type, PeerMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(type.number());
      type.writer().write(packer, type.type().cast(message));
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("failed to write to an in-memory buffer", e);
    }
  }

  /** Decodes a message. */
  public Either<Failure, PeerMessage> decode(byte[] frame) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
      int number = unpacker.unpackInt();
      Option<MessageType<?>> type = byNumber.get(number);
      if (type.isEmpty()) {
        return protocolFailure("unknown message type " + number);
      }
      PeerMessage message = type.get().reader().read(unpacker);
      return unpacker.hasNext()
          ? protocolFailure("trailing bytes after a message of type " + number)
          : Either.right(message);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      return protocolFailure(String.valueOf(e.getMessage()));
    }
  }

  private static Either<Failure, PeerMessage> protocolFailure(String detail) {
    return Either.left(Failure.of(ResultCode.PEER_PROTOCOL, detail));
  }
}
