package org.clementinepost.wire;

import io.vavr.collection.Vector;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.LinkMessage;

/** The encoding of the messages that open and monitor a connection. */
final class LinkMessageTypes {
  private LinkMessageTypes() {}

  static Vector<MessageType<?>> all() {
    return Vector.of(
        new MessageType<>(
            1,
            LinkMessage.Hello.class,
            (packer, hello) ->
                packer.packString(hello.node().value()).packLong(hello.incarnation()),
            unpacker ->
                new LinkMessage.Hello(new NodeId(unpacker.unpackString()), unpacker.unpackLong())),
        new MessageType<>(
            2,
            LinkMessage.Ping.class,
            (packer, ping) -> packer.packLong(ping.sequence()),
            unpacker -> new LinkMessage.Ping(unpacker.unpackLong())),
        new MessageType<>(
            3,
            LinkMessage.Pong.class,
            (packer, pong) -> packer.packLong(pong.sequence()),
            unpacker -> new LinkMessage.Pong(unpacker.unpackLong())));
  }
}
