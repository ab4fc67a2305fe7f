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

/**
 * The encodings of the directory messages.
 *
 * <p>The service, and in some messages the host, is the same for all endpoints of a message and is
 * written once.
 */
final class DirectoryMessageTypes {
  private DirectoryMessageTypes() {}

  static Vector<MessageType<?>> all() {
    return Vector.of(
        new MessageType<>(
            30,
            DirectoryPeerMessage.Publish.class,
            DirectoryMessageTypes::write,
            DirectoryMessageTypes::readPublish),
        new MessageType<>(
            31,
            DirectoryPeerMessage.Subscribe.class,
            (packer, subscribe) ->
                packer.packString(subscribe.service().value()).packLong(subscribe.version()),
            unpacker ->
                new DirectoryPeerMessage.Subscribe(
                    new ServiceId(unpacker.unpackString()), unpacker.unpackLong())),
        new MessageType<>(
            32,
            DirectoryPeerMessage.Unsubscribe.class,
            (packer, unsubscribe) -> packer.packString(unsubscribe.service().value()),
            unpacker ->
                new DirectoryPeerMessage.Unsubscribe(new ServiceId(unpacker.unpackString()))),
        new MessageType<>(
            33,
            DirectoryPeerMessage.Subset.class,
            DirectoryMessageTypes::write,
            DirectoryMessageTypes::readSubset));
  }

  private static void write(MessagePacker packer, DirectoryPeerMessage.Publish publish)
      throws IOException {
    packer.packString(publish.host().value());
    packer.packLong(publish.incarnation());
    packer.packLong(publish.sequence());
    packer.packString(publish.service().value());
    Fields.writeAll(packer, publish.endpoints(), DirectoryMessageTypes::writeEndpoint);
  }

  private static DirectoryPeerMessage.Publish readPublish(MessageUnpacker unpacker)
      throws IOException {
    NodeId host = new NodeId(unpacker.unpackString());
    long incarnation = unpacker.unpackLong();
    long sequence = unpacker.unpackLong();
    ServiceId service = new ServiceId(unpacker.unpackString());
    Vector<Endpoint> endpoints =
        Fields.readAll(unpacker, from -> readEndpoint(from, service, host));
    return new DirectoryPeerMessage.Publish(host, incarnation, sequence, service, endpoints);
  }

  private static void write(MessagePacker packer, DirectoryPeerMessage.Subset subset)
      throws IOException {
    packer.packString(subset.service().value());
    packer.packLong(subset.incarnation());
    packer.packLong(subset.version());
    packer.packBoolean(subset.complete());
    Fields.writeAll(
        packer,
        subset.endpoints(),
        (to, endpoint) -> writeEndpoint(to.packString(endpoint.host().value()), endpoint));
  }

  private static DirectoryPeerMessage.Subset readSubset(MessageUnpacker unpacker)
      throws IOException {
    ServiceId service = new ServiceId(unpacker.unpackString());
    long incarnation = unpacker.unpackLong();
    long version = unpacker.unpackLong();
    boolean complete = unpacker.unpackBoolean();
    Vector<Endpoint> endpoints =
        Fields.readAll(
            unpacker, from -> readEndpoint(from, service, new NodeId(from.unpackString())));
    return new DirectoryPeerMessage.Subset(service, incarnation, version, complete, endpoints);
  }

  private static void writeEndpoint(MessagePacker packer, Endpoint endpoint) throws IOException {
    packer.packString(endpoint.server().value());
    packer.packString(endpoint.domain().value());
    packer.packInt(endpoint.slots());
  }

  private static Endpoint readEndpoint(MessageUnpacker unpacker, ServiceId service, NodeId host)
      throws IOException {
    BackendServerId server = new BackendServerId(unpacker.unpackString());
    FailureDomainId domain = new FailureDomainId(unpacker.unpackString());
    return new Endpoint(server, service, host, domain, unpacker.unpackInt());
  }
}
