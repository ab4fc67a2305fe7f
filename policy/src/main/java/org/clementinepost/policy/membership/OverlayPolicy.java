package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import org.clementinepost.api.NodeId;
import org.clementinepost.kernel.Step;

/**
 * Decides which nodes a node keeps links to.
 *
 * <p>A node monitors its successors on the ring and reports their death. Links to its fingers
 * reduce the number of hops that gossip takes. The number of links does not depend on the size of
 * the fleet.
 */
final class OverlayPolicy {
  private static final int SUCCESSORS = 3;
  private static final int FINGERS = 5;
  private static final int BITS_PER_FINGER = 2;

  private OverlayPolicy() {}

  /** Returns the nodes that a node monitors. */
  static Vector<NodeId> monitoredBy(HashRing ring, NodeId self) {
    return ring.successors(self, SUCCESSORS);
  }

  /** Returns the nodes that monitor a node. */
  static Vector<NodeId> monitorsOf(HashRing ring, NodeId target) {
    return ring.predecessors(target, SUCCESSORS);
  }

  /** Returns the nodes to keep links to and to gossip to. */
  static Vector<NodeId> links(HashRing ring, NodeId self) {
    return ring.successors(self, SUCCESSORS)
        .appendAll(ring.fingers(self, FINGERS, BITS_PER_FINGER))
        .distinct();
  }

  /** Requests other links if the change of the ring requires them. */
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
