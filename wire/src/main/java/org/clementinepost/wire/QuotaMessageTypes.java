package org.clementinepost.wire;

import io.vavr.collection.Vector;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.peer.QuotaPeerMessage;

/** The encoding of the messages between nodes and the keeper of the quota. */
final class QuotaMessageTypes {
  private QuotaMessageTypes() {}

  static Vector<MessageType<?>> all() {
    return Vector.of(
        new MessageType<>(
            70,
            QuotaPeerMessage.Ask.class,
            (packer, ask) -> packer.packLong(ask.ask()).packString(ask.customer().value()),
            unpacker ->
                new QuotaPeerMessage.Ask(
                    unpacker.unpackLong(), new CustomerId(unpacker.unpackString()))),
        new MessageType<>(
            71,
            QuotaPeerMessage.Answer.class,
            (packer, answer) ->
                packer
                    .packLong(answer.ask())
                    .packBoolean(answer.keeper())
                    .packBoolean(answer.granted())
                    .packLong(answer.waitMillis()),
            unpacker ->
                new QuotaPeerMessage.Answer(
                    unpacker.unpackLong(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackLong())));
  }
}
