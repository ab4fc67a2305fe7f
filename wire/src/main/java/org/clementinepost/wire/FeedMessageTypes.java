package org.clementinepost.wire;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.IOException;
import org.clementinepost.api.StoreVersion;
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
            FeedMessageTypes::writeRequest,
            FeedMessageTypes::readRequest),
        new MessageType<>(
            81,
            FeedPeerMessage.Response.class,
            (packer, response) -> {
              packer.packString(response.table()).packLong(response.requestNumber());
              Fields.writeOption(packer, response.page(), FeedMessageTypes::writePage);
              writeEra(packer, response.page().map(page -> page.version().era()).getOrElse(0L));
            },
            FeedMessageTypes::readResponse));
  }

  private static void writeRequest(MessagePacker packer, FeedPeerMessage.Request request)
      throws IOException {
    packer
        .packString(request.table())
        .packLong(request.requestNumber())
        .packLong(request.version().version())
        .packLong(request.storeClockMillis())
        .packLong(request.waitMillis());
    writeEra(packer, request.version().era());
  }

  private static FeedPeerMessage.Request readRequest(MessageUnpacker unpacker) throws IOException {
    String table = unpacker.unpackString();
    long requestNumber = unpacker.unpackLong();
    long version = unpacker.unpackLong();
    long storeClockMillis = unpacker.unpackLong();
    long waitMillis = unpacker.unpackLong();
    return new FeedPeerMessage.Request(
        table,
        requestNumber,
        new StoreVersion(readEra(unpacker), version),
        storeClockMillis,
        waitMillis);
  }

  private static FeedPeerMessage.Response readResponse(MessageUnpacker unpacker)
      throws IOException {
    String table = unpacker.unpackString();
    long requestNumber = unpacker.unpackLong();
    Option<FeedPage> page = Fields.readOption(unpacker, FeedMessageTypes::readPage);
    long era = readEra(unpacker);
    return new FeedPeerMessage.Response(table, requestNumber, page.map(read -> inEra(read, era)));
  }

  private static FeedPage inEra(FeedPage page, long era) {
    return new FeedPage(
        page.rows(),
        new StoreVersion(era, page.version().version()),
        page.storeClockMillis(),
        page.complete());
  }

  /** Writes an era at the end of a message, unless it is the one of a store that tells none. */
  private static void writeEra(MessagePacker packer, long era) throws IOException {
    if (era != 0) {
      packer.packLong(era);
    }
  }

  private static long readEra(MessageUnpacker unpacker) throws IOException {
    long era = unpacker.hasNext() ? unpacker.unpackLong() : 0;
    if (era < 0) {
      throw new IllegalArgumentException("negative era " + era);
    }
    return era;
  }

  private static void writePage(MessagePacker packer, FeedPage page) throws IOException {
    packer
        .packLong(page.version().version())
        .packLong(page.storeClockMillis())
        .packBoolean(page.complete());
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
