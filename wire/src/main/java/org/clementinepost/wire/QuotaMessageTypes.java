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
            QuotaPeerMessage.TokenRequest.class,
            (packer, ask) ->
                packer.packLong(ask.requestNumber()).packString(ask.customer().value()),
            unpacker ->
                new QuotaPeerMessage.TokenRequest(
                    unpacker.unpackLong(), new CustomerId(unpacker.unpackString()))),
        new MessageType<>(
            71,
            QuotaPeerMessage.TokenResponse.class,
            (packer, answer) ->
                packer
                    .packLong(answer.requestNumber())
                    .packBoolean(answer.leader())
                    .packBoolean(answer.granted())
                    .packLong(answer.waitMillis()),
            unpacker ->
                new QuotaPeerMessage.TokenResponse(
                    unpacker.unpackLong(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackLong())));
  }
}
