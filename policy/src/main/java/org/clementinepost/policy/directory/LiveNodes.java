package org.clementinepost.policy.directory;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.policy.membership.StableHash;

/**
 * The live nodes, including this one, and the assignment of services to directory nodes.
 *
 * <p>Services are assigned by rendezvous hashing: the directory nodes of a service are the nodes
 * with the highest combined hashes of node and service, so that the death of a node moves only the
 * services that were assigned to it.
 */
public record LiveNodes(Map<NodeId, Member> members) {
  private static final int DIRECTORY_NODES_PER_SERVICE = 3;
  private static final LiveNodes EMPTY = new LiveNodes(HashMap.empty());

  /** Returns the set without nodes. */
  public static LiveNodes empty() {
    return EMPTY;
  }

  /** Returns the set of these nodes. */
  public static LiveNodes of(Vector<Member> members) {
    return new LiveNodes(members.toMap(Member::node, member -> member));
  }

  /** Whether a node is live at an incarnation no later than the given one. */
  boolean isLive(NodeId node, long incarnation) {
    return members.get(node).exists(member -> member.incarnation() <= incarnation);
  }

  /** Whether a node is live. */
  boolean isLive(NodeId node) {
    return members.containsKey(node);
  }

  /** Returns the directory nodes of a service, in descending order of their hashes. */
  public Vector<NodeId> directoryNodes(ServiceId service) {
    long serviceHash = StableHash.of(service.value());
    NodeId[] best = new NodeId[DIRECTORY_NODES_PER_SERVICE];
    long[] scores = new long[DIRECTORY_NODES_PER_SERVICE];
    int found = 0;
    for (NodeId node : members.keysIterator()) {
      long score = score(serviceHash, node);
      int rank = found;
      while (rank > 0 && ranksHigher(score, node, scores[rank - 1], best[rank - 1])) {
        rank--;
      }
      if (rank == DIRECTORY_NODES_PER_SERVICE) {
        continue;
      }
      found = Math.min(found + 1, DIRECTORY_NODES_PER_SERVICE);
      for (int i = found - 1; i > rank; i--) {
        best[i] = best[i - 1];
        scores[i] = scores[i - 1];
      }
      best[rank] = node;
      scores[rank] = score;
    }
    return Vector.of(best).take(found);
  }

  /** Whether a change of the live nodes may alter the directory nodes of a service. */
  boolean affectsDirectoryNodes(ServiceId service, Vector<NodeId> directoryNodes, Change change) {
    boolean lost = change.left().exists(directoryNodes::contains);
    if (lost || directoryNodes.size() < DIRECTORY_NODES_PER_SERVICE) {
      return true;
    }
    long serviceHash = StableHash.of(service.value());
    NodeId last = directoryNodes.last();
    long lastScore = score(serviceHash, last);
    return change
        .joined()
        .exists(node -> ranksHigher(score(serviceHash, node), node, lastScore, last));
  }

  /**
   * Returns the nodes that joined and left between this set and a later one; a restarted node does
   * both.
   */
  Change changeTo(LiveNodes next) {
    Vector<NodeId> joined =
        next.members
            .valuesIterator()
            .filter(member -> !members.get(member.node()).contains(member))
            .map(Member::node)
            .toVector();
    Vector<NodeId> left =
        members
            .valuesIterator()
            .filter(member -> !next.members.get(member.node()).contains(member))
            .map(Member::node)
            .toVector();
    return new Change(joined, left);
  }

  /** The nodes that joined and left. */
  record Change(Vector<NodeId> joined, Vector<NodeId> left) {}

  private static long score(long serviceHash, NodeId node) {
    return StableHash.of(serviceHash, StableHash.of(node.value()));
  }

  private static boolean ranksHigher(long score, NodeId node, long otherScore, NodeId other) {
    return score == otherScore
        ? node.compareTo(other) < 0
        : Long.compareUnsigned(score, otherScore) > 0;
  }
}
