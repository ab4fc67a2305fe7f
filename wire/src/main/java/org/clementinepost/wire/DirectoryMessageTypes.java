package org.clementinepost.wire;

import io.vavr.collection.Vector;
import java.io.IOException;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The encoding of the directory's messages. */
final class DirectoryMessageTypes {
  private DirectoryMessageTypes() {}

  static Vector<MessageType<?>> all() {
    return Vector.of(
        new MessageType<>(
            30,
            DirectoryPeerMessage.Published.class,
            DirectoryMessageTypes::write,
            DirectoryMessageTypes::readPublished));
  }

  private static void write(MessagePacker packer, DirectoryPeerMessage.Published published)
      throws IOException {
    packer.packString(published.host().value());
    packer.packLong(published.incarnation());
    packer.packLong(published.sequence());
    Fields.writeAll(packer, published.endpoints(), DirectoryMessageTypes::write);
  }

  private static DirectoryPeerMessage.Published readPublished(MessageUnpacker unpacker)
      throws IOException {
    return new DirectoryPeerMessage.Published(
        new NodeId(unpacker.unpackString()),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        Fields.readAll(unpacker, DirectoryMessageTypes::readEndpoint));
  }

  private static void write(MessagePacker packer, Endpoint endpoint) throws IOException {
    packer.packString(endpoint.server().value());
    packer.packString(endpoint.service().value());
    packer.packString(endpoint.host().value());
    packer.packString(endpoint.domain().value());
    packer.packInt(endpoint.slots());
  }

  private static Endpoint readEndpoint(MessageUnpacker unpacker) throws IOException {
    return new Endpoint(
        new BackendServerId(unpacker.unpackString()),
        new ServiceId(unpacker.unpackString()),
        new NodeId(unpacker.unpackString()),
        new FailureDomainId(unpacker.unpackString()),
        unpacker.unpackInt());
  }
}
