package org.clementinepost.wire;

import io.vavr.collection.Vector;
import java.io.IOException;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.LoadReport;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.peer.LoadPeerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The encoding of load queries and their replies. */
final class LoadMessageTypes {
  private LoadMessageTypes() {}

  static Vector<MessageType<?>> all() {
    return Vector.of(
        new MessageType<>(
            90,
            LoadPeerMessage.Query.class,
            (packer, query) ->
                packer
                    .packLong(query.queryNumber())
                    .packString(query.server().value())
                    .packBoolean(query.sameDomain())
                    .packBoolean(query.callOfServer())
                    .packBoolean(query.idempotent())
                    .packInt(query.priority())
                    .packLong(query.targetLatencyMillis()),
            unpacker ->
                new LoadPeerMessage.Query(
                    unpacker.unpackLong(),
                    new BackendServerId(unpacker.unpackString()),
                    unpacker.unpackBoolean(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackInt(),
                    unpacker.unpackLong())),
        new MessageType<>(
            91,
            LoadPeerMessage.Reply.class,
            (packer, reply) -> {
              packer.packLong(reply.queryNumber());
              write(packer, reply.report());
            },
            unpacker -> new LoadPeerMessage.Reply(unpacker.unpackLong(), read(unpacker))));
  }

  private static void write(MessagePacker packer, LoadReport report) throws IOException {
    Fields.writeOption(packer, report.refusal(), (to, code) -> to.packInt(code.number()));
    packer.packInt(report.running()).packInt(report.waiting()).packInt(report.slots());
    Fields.writeOption(packer, report.predictedWaitMicros(), MessagePacker::packLong);
    Fields.writeOption(packer, report.expectedRunMicros(), MessagePacker::packLong);
  }

  private static LoadReport read(MessageUnpacker unpacker) throws IOException {
    return new LoadReport(
        Fields.readOption(
            unpacker,
            from -> ResultCode.ofNumber(from.unpackInt()).orElse(ResultCode.PEER_PROTOCOL)),
        unpacker.unpackInt(),
        unpacker.unpackInt(),
        unpacker.unpackInt(),
        Fields.readOption(unpacker, MessageUnpacker::unpackLong),
        Fields.readOption(unpacker, MessageUnpacker::unpackLong));
  }
}
