package org.clementinepost.wire;

import io.vavr.collection.Vector;
import java.io.IOException;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.QuotaMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The encoding of the quota's messages. */
final class QuotaMessageTypes {
  private QuotaMessageTypes() {}

  static Vector<MessageType<?>> all() {
    return Vector.<MessageType<?>>empty().appendAll(tokens()).appendAll(tenures());
  }

  private static Vector<MessageType<?>> tokens() {
    return Vector.of(
        new MessageType<>(
            40,
            QuotaMessage.Asks.class,
            (packer, asks) ->
                Fields.writeAll(
                    packer.packLong(asks.incarnation()), asks.asks(), QuotaMessageTypes::write),
            unpacker ->
                new QuotaMessage.Asks(
                    unpacker.unpackLong(), Fields.readAll(unpacker, QuotaMessageTypes::readAsk))),
        new MessageType<>(
            41,
            QuotaMessage.Grants.class,
            (packer, grants) ->
                Fields.writeAll(
                    packer.packLong(grants.incarnation()),
                    grants.grants(),
                    QuotaMessageTypes::write),
            unpacker ->
                new QuotaMessage.Grants(
                    unpacker.unpackLong(), Fields.readAll(unpacker, QuotaMessageTypes::readGrant))),
        new MessageType<>(
            42,
            QuotaMessage.NotHome.class,
            QuotaMessageTypes::write,
            QuotaMessageTypes::readNotHome));
  }

  private static Vector<MessageType<?>> tenures() {
    return Vector.of(
        new MessageType<>(
            43,
            QuotaMessage.Fence.class,
            (packer, fence) -> packer.packString(fence.node().value()).packLong(fence.generation()),
            unpacker ->
                new QuotaMessage.Fence(new NodeId(unpacker.unpackString()), unpacker.unpackLong())),
        new MessageType<>(
            44,
            QuotaMessage.FenceNoted.class,
            (packer, noted) -> packer.packString(noted.node().value()).packLong(noted.generation()),
            unpacker ->
                new QuotaMessage.FenceNoted(
                    new NodeId(unpacker.unpackString()), unpacker.unpackLong())),
        new MessageType<>(
            45,
            QuotaMessage.Confirm.class,
            (packer, confirm) ->
                packer
                    .packLong(confirm.generation())
                    .packLong(confirm.round())
                    .packLong(confirm.leaseMillis()),
            unpacker ->
                new QuotaMessage.Confirm(
                    unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong())),
        new MessageType<>(
            46,
            QuotaMessage.Confirmed.class,
            (packer, confirmed) ->
                packer.packLong(confirmed.generation()).packLong(confirmed.round()),
            unpacker -> new QuotaMessage.Confirmed(unpacker.unpackLong(), unpacker.unpackLong())));
  }

  private static void write(MessagePacker packer, QuotaMessage.Ask ask) throws IOException {
    packer.packLong(ask.sequence());
    packer.packString(ask.customer().value());
    packer.packInt(ask.heldTokens());
    packer.packInt(ask.returnedTokens());
    packer.packInt(ask.waitingRequests());
    packer.packInt(ask.wantedTokens());
  }

  private static QuotaMessage.Ask readAsk(MessageUnpacker unpacker) throws IOException {
    return new QuotaMessage.Ask(
        unpacker.unpackLong(),
        new CustomerId(unpacker.unpackString()),
        readCount(unpacker),
        readCount(unpacker),
        readCount(unpacker),
        readCount(unpacker));
  }

  private static void write(MessagePacker packer, QuotaMessage.Grant grant) throws IOException {
    packer.packLong(grant.sequence());
    packer.packLong(grant.epoch());
    packer.packInt(grant.tokens());
    packer.packLong(grant.waitMillis());
  }

  private static QuotaMessage.Grant readGrant(MessageUnpacker unpacker) throws IOException {
    return new QuotaMessage.Grant(
        unpacker.unpackLong(), unpacker.unpackLong(), readCount(unpacker), unpacker.unpackLong());
  }

  private static void write(MessagePacker packer, QuotaMessage.NotHome notHome) throws IOException {
    packer.packLong(notHome.incarnation());
    Fields.writeAll(packer, notHome.sequences(), MessagePacker::packLong);
    Fields.writeOption(packer, notHome.home(), (p, home) -> p.packString(home.value()));
  }

  private static QuotaMessage.NotHome readNotHome(MessageUnpacker unpacker) throws IOException {
    return new QuotaMessage.NotHome(
        unpacker.unpackLong(),
        Fields.readAll(unpacker, MessageUnpacker::unpackLong),
        Fields.readOption(unpacker, u -> new NodeId(u.unpackString())));
  }

  /** A negative count would take tokens out of a bucket that never had them. */
  private static int readCount(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackInt();
    if (count < 0) {
      throw new IllegalArgumentException("negative count: " + count);
    }
    return count;
  }
}
