package org.clementinepost.api.peer;

import io.vavr.collection.Vector;
import org.clementinepost.api.NodeId;

/** The messages of the gossip-based membership protocol. */
public sealed interface MembershipPeerMessage extends PeerMessage {
  /** Member updates. A receiver passes on those that are new to it. */
  record Updates(Vector<MemberUpdate> updates) implements MembershipPeerMessage {}

  /**
   * Hashes of the sender's live members. The receiver replies with the updates in the buckets whose
   * hashes differ from its own.
   *
   * @param replyRequested whether the receiver is also to reply with its own digest
   * @param bucketHashes one hash for each bucket of node names
   */
  record Digest(boolean replyRequested, Vector<Integer> bucketHashes)
      implements MembershipPeerMessage {}

  /** Asks another node to probe a node that the sender no longer hears from. */
  record IndirectProbeRequest(NodeId target, long incarnation) implements MembershipPeerMessage {}

  /** The result of an indirect probe. */
  record IndirectProbeResult(NodeId target, long incarnation, boolean reachable)
      implements MembershipPeerMessage {}
}
