package org.clementinepost.wire;

import io.vavr.collection.Vector;
import java.io.IOException;
import org.clementinepost.api.peer.FeedPage;
import org.clementinepost.api.peer.FeedPeerMessage;
import org.clementinepost.api.peer.FeedRow;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The encoding of the messages by which nodes relay tables of the store. */
final class FeedMessageTypes {
  private FeedMessageTypes() {}

  static Vector<MessageType<?>> all() {
    return Vector.of(
        new MessageType<>(
            80,
            FeedPeerMessage.Request.class,
            (packer, request) ->
                packer
                    .packString(request.table())
                    .packLong(request.requestNumber())
                    .packLong(request.version())
                    .packLong(request.storeClockMillis())
                    .packLong(request.waitMillis()),
            unpacker ->
                new FeedPeerMessage.Request(
                    unpacker.unpackString(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong())),
        new MessageType<>(
            81,
            FeedPeerMessage.Response.class,
            (packer, response) -> {
              packer.packString(response.table()).packLong(response.requestNumber());
              Fields.writeOption(packer, response.page(), FeedMessageTypes::writePage);
            },
            unpacker ->
                new FeedPeerMessage.Response(
                    unpacker.unpackString(),
                    unpacker.unpackLong(),
                    Fields.readOption(unpacker, FeedMessageTypes::readPage))));
  }

  private static void writePage(MessagePacker packer, FeedPage page) throws IOException {
    packer.packLong(page.version()).packLong(page.storeClockMillis()).packBoolean(page.complete());
    Fields.writeAll(packer, page.rows(), FeedMessageTypes::writeRow);
  }

  private static FeedPage readPage(MessageUnpacker unpacker) throws IOException {
    long version = unpacker.unpackLong();
    long storeClockMillis = unpacker.unpackLong();
    boolean complete = unpacker.unpackBoolean();
    return new FeedPage(
        Fields.readAll(unpacker, FeedMessageTypes::readRow), version, storeClockMillis, complete);
  }

  private static void writeRow(MessagePacker packer, FeedRow row) throws IOException {
    packer.packString(row.key()).packLong(row.version());
    Fields.writeOption(packer, row.value(), MessagePacker::packString);
  }

  private static FeedRow readRow(MessageUnpacker unpacker) throws IOException {
    String key = unpacker.unpackString();
    long version = unpacker.unpackLong();
    return new FeedRow(key, Fields.readOption(unpacker, MessageUnpacker::unpackString), version);
  }
}
