package org.clementinepost.policy.quota;

import io.vavr.collection.Vector;
import org.clementinepost.api.NodeId;

/**
 * A node's right to be the home of partitions, as the table has it.
 *
 * <p>One record covers all of a node's partitions, so that one read renews them all.
 *
 * @param node the node
 * @param generation tells the node's lives, and its tenures within one, apart
 * @param witnesses the nodes that may confirm the tenure while the table is away
 * @param leaseMillis how long one confirmation lasts
 * @param fenced whether another node has ended the tenure
 */
public record NodeTenure(
    NodeId node, long generation, Vector<NodeId> witnesses, long leaseMillis, boolean fenced) {
  /** The key of the record. */
  public Ref ref() {
    return new Ref(node, generation);
  }

  NodeTenure ended() {
    return new NodeTenure(node, generation, witnesses, leaseMillis, true);
  }

  /** Names one tenure of one node. */
  public record Ref(NodeId node, long generation) {}
}
