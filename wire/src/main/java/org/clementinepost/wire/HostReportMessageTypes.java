package org.clementinepost.wire;

import io.vavr.collection.Vector;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.HostReportMessage;

/** The encoding of hosts' health reports on their backend servers. */
final class HostReportMessageTypes {
  private HostReportMessageTypes() {}

  static Vector<MessageType<?>> all() {
    return Vector.of(
        new MessageType<>(
            60,
            HostReportMessage.class,
            (packer, message) ->
                packer
                    .packString(message.server().value())
                    .packString(message.service().value())
                    .packInt(message.report().number()),
            unpacker ->
                new HostReportMessage(
                    new BackendServerId(unpacker.unpackString()),
                    new ServiceId(unpacker.unpackString()),
                    HostReport.ofNumber(unpacker.unpackInt()))));
  }
}
