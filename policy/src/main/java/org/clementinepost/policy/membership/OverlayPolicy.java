package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import org.clementinepost.api.NodeId;
import org.clementinepost.kernel.Step;

/**
 * Decides which nodes a node keeps links to.
 *
 * <p>It hears its successors on the ring and reports their death; the fingers shorten the way of
 * news. The number of links is the same at any size of the fleet.
 */
final class OverlayPolicy {
  private static final int SUCCESSORS = 3;
  private static final int FINGERS = 5;
  private static final int BITS_PER_FINGER = 2;

  private OverlayPolicy() {}

  /** The nodes whose death this node finds out. */
  static Vector<NodeId> monitoredBy(HashRing ring, NodeId self) {
    return ring.successors(self, SUCCESSORS);
  }

  /** The nodes that find out another one's death. */
  static Vector<NodeId> monitorsOf(HashRing ring, NodeId target) {
    return ring.predecessors(target, SUCCESSORS);
  }

  /** The nodes that links are kept to and news is passed on to. */
  static Vector<NodeId> links(HashRing ring, NodeId self) {
    return ring.successors(self, SUCCESSORS)
        .appendAll(ring.fingers(self, FINGERS, BITS_PER_FINGER))
        .distinct();
  }

  /** Asks for other links when the ring has changed under the present ones. */
  static Step<MembershipState, MembershipEffect> updateLinks(MembershipState state) {
    if (state.stage() != MembershipState.Stage.JOINED) {
      return MembershipStep.of(state);
    }
    Vector<NodeId> links = links(state.table().ring(), state.self().node());
    if (links.equals(state.links())) {
      return MembershipStep.of(state);
    }
    return MembershipStep.of(state.withLinks(links))
        .with(new MembershipEffect.SetLinks(links.flatMap(state.table()::liveMember)));
  }
}
