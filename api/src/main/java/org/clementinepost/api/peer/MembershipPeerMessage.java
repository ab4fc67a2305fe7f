package org.clementinepost.api.peer;

import io.vavr.collection.Vector;
import org.clementinepost.api.NodeId;

/** The messages by which nodes agree on who makes up the fleet. */
public sealed interface MembershipPeerMessage extends PeerMessage {
  /** News of nodes, to be passed on by whoever has not had it. */
  record Updates(Vector<MemberUpdate> updates) implements MembershipPeerMessage {}

  /**
   * Hashes over the sender's live members, for the receiver to compare.
   *
   * @param replyRequested whether the sender asks for the receiver's digest
   * @param bucketHashes one hash for each bucket of node names
   */
  record Digest(boolean replyRequested, Vector<Integer> bucketHashes)
      implements MembershipPeerMessage {}

  /** Asks another node whether it reaches one that the sender no longer hears. */
  record IndirectProbeRequest(NodeId target, long incarnation) implements MembershipPeerMessage {}

  /** Answers an inquiry. */
  record IndirectProbeResult(NodeId target, long incarnation, boolean reachable)
      implements MembershipPeerMessage {}
}
