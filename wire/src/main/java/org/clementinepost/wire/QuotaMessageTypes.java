package org.clementinepost.wire;

import io.vavr.collection.Vector;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.peer.QuotaPeerMessage;

/** The encoding of the messages between nodes and the quota leader. */
final class QuotaMessageTypes {
  private QuotaMessageTypes() {}

  static Vector<MessageType<?>> all() {
    return Vector.of(
        new MessageType<>(
            70,
            QuotaPeerMessage.TokenRequest.class,
            (packer, request) ->
                packer.packLong(request.requestNumber()).packString(request.customer().value()),
            unpacker ->
                new QuotaPeerMessage.TokenRequest(
                    unpacker.unpackLong(), new CustomerId(unpacker.unpackString()))),
        new MessageType<>(
            71,
            QuotaPeerMessage.TokenResponse.class,
            (packer, response) ->
                packer
                    .packLong(response.requestNumber())
                    .packBoolean(response.leader())
                    .packBoolean(response.granted())
                    .packLong(response.waitMillis()),
            unpacker ->
                new QuotaPeerMessage.TokenResponse(
                    unpacker.unpackLong(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackLong())));
  }
}
