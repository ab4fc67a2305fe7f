package org.clementinepost.wire;

import io.vavr.collection.Vector;
import java.io.IOException;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.peer.QuotaPeerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The encoding of the messages between nodes and the quota leader. */
final class QuotaMessageTypes {
  private QuotaMessageTypes() {}

  static Vector<MessageType<?>> all() {
    return Vector.of(
        new MessageType<>(
            70,
            QuotaPeerMessage.TokenRequest.class,
            QuotaMessageTypes::writeRequest,
            QuotaMessageTypes::readRequest),
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

  private static void writeRequest(MessagePacker packer, QuotaPeerMessage.TokenRequest request)
      throws IOException {
    Customer customer = request.customer();
    packer
        .packLong(request.requestNumber())
        .packString(customer.id().value())
        .packDouble(customer.ratePerSecond())
        .packInt(customer.burstRequests())
        .packInt(customer.weight());
    Fields.writeOption(packer, customer.priority(), MessagePacker::packInt);
    packer.packLong(request.configurationVersion());
  }

  private static QuotaPeerMessage.TokenRequest readRequest(MessageUnpacker unpacker)
      throws IOException {
    long requestNumber = unpacker.unpackLong();
    Customer customer =
        new Customer(
            new CustomerId(unpacker.unpackString()),
            unpacker.unpackDouble(),
            unpacker.unpackInt(),
            unpacker.unpackInt(),
            Fields.readOption(unpacker, MessageUnpacker::unpackInt));
    return new QuotaPeerMessage.TokenRequest(requestNumber, customer, unpacker.unpackLong());
  }
}
