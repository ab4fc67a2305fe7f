package org.clementinepost.wire;

import io.vavr.collection.Vector;
import java.io.IOException;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.Member;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MemberStatus;
import org.clementinepost.api.peer.MemberUpdate;
import org.clementinepost.api.peer.MembershipPeerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The encodings of the membership messages. */
final class MembershipMessageTypes {
  /** The index in this list is the status's number on the wire. */
  private static final Vector<MemberStatus> STATUSES =
      Vector.of(MemberStatus.ALIVE, MemberStatus.DEAD, MemberStatus.LEFT);

  private MembershipMessageTypes() {}

  static Vector<MessageType<?>> all() {
    return Vector.of(
        new MessageType<>(
            50,
            MembershipPeerMessage.Updates.class,
            (packer, updates) ->
                Fields.writeAll(packer, updates.updates(), MembershipMessageTypes::writeUpdate),
            unpacker ->
                new MembershipPeerMessage.Updates(
                    Fields.readAll(unpacker, MembershipMessageTypes::readUpdate))),
        new MessageType<>(
            51,
            MembershipPeerMessage.Digest.class,
            (packer, digest) ->
                Fields.writeAll(
                    packer.packBoolean(digest.replyRequested()),
                    digest.bucketHashes(),
                    MessagePacker::packInt),
            unpacker ->
                new MembershipPeerMessage.Digest(
                    unpacker.unpackBoolean(),
                    Fields.readAll(unpacker, MessageUnpacker::unpackInt))),
        new MessageType<>(
            52,
            MembershipPeerMessage.IndirectProbeRequest.class,
            (packer, request) ->
                packer.packString(request.target().value()).packLong(request.incarnation()),
            unpacker ->
                new MembershipPeerMessage.IndirectProbeRequest(
                    new NodeId(unpacker.unpackString()), unpacker.unpackLong())),
        new MessageType<>(
            53,
            MembershipPeerMessage.IndirectProbeResult.class,
            (packer, result) ->
                packer
                    .packString(result.target().value())
                    .packLong(result.incarnation())
                    .packBoolean(result.reachable()),
            unpacker ->
                new MembershipPeerMessage.IndirectProbeResult(
                    new NodeId(unpacker.unpackString()),
                    unpacker.unpackLong(),
                    unpacker.unpackBoolean())));
  }

  private static void writeUpdate(MessagePacker packer, MemberUpdate update) throws IOException {
    Member member = update.member();
    packer.packString(member.node().value());
    packer.packLong(member.incarnation());
    packer.packString(member.peerAddress().host());
    packer.packInt(member.peerAddress().port());
    packer.packString(member.domain().value());
    packer.packInt(update.refutation());
    packer.packInt(STATUSES.indexOf(update.status()));
  }

  private static MemberUpdate readUpdate(MessageUnpacker unpacker) throws IOException {
    Member member =
        new Member(
            new NodeId(unpacker.unpackString()),
            unpacker.unpackLong(),
            new NetworkAddress(unpacker.unpackString(), unpacker.unpackInt()),
            new FailureDomainId(unpacker.unpackString()));
    return new MemberUpdate(member, unpacker.unpackInt(), readStatus(unpacker));
  }

  private static MemberStatus readStatus(MessageUnpacker unpacker) throws IOException {
    int number = unpacker.unpackInt();
    if (number < 0 || number >= STATUSES.size()) {
      throw new IllegalArgumentException("unknown member status: " + number);
    }
    return STATUSES.get(number);
  }
}
