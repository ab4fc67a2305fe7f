package org.clementinepost.policy.membership;

import io.vavr.collection.LinkedHashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import java.util.Arrays;
import org.clementinepost.api.NodeId;

/**
 * The live nodes, ordered in a ring by their hashes.
 *
 * <p>The ring is held in two sorted arrays, which are copied at each change: with several thousand
 * nodes a copy takes a microsecond, and a change comes every few seconds.
 */
public final class HashRing {
  private static final HashRing EMPTY = new HashRing(new long[0], new NodeId[0]);

  private final long[] hashes;
  private final NodeId[] nodes;

  private HashRing(long[] hashes, NodeId[] nodes) {
    this.hashes = hashes;
    this.nodes = nodes;
  }

  /** Returns the ring without nodes. */
  public static HashRing empty() {
    return EMPTY;
  }

  /** Returns the number of nodes. */
  public int size() {
    return nodes.length;
  }

  /** Returns the nodes in ring order. */
  public Vector<NodeId> nodes() {
    return Vector.of(nodes);
  }

  /** Returns the node at an index in ring order. */
  public NodeId nodeAt(int index) {
    return nodes[index];
  }

  /** Returns this ring with a node added. */
  public HashRing with(NodeId node) {
    long hash = StableHash.of(node.value());
    int index = insertionIndex(hash, node);
    if (index < nodes.length && nodes[index].equals(node)) {
      return this;
    }
    long[] nextHashes = new long[nodes.length + 1];
    NodeId[] nextNodes = new NodeId[nodes.length + 1];
    System.arraycopy(hashes, 0, nextHashes, 0, index);
    System.arraycopy(nodes, 0, nextNodes, 0, index);
    nextHashes[index] = hash;
    nextNodes[index] = node;
    System.arraycopy(hashes, index, nextHashes, index + 1, nodes.length - index);
    System.arraycopy(nodes, index, nextNodes, index + 1, nodes.length - index);
    return new HashRing(nextHashes, nextNodes);
  }

  /** Returns this ring with a node removed. */
  public HashRing without(NodeId node) {
    int index = insertionIndex(StableHash.of(node.value()), node);
    if (index == nodes.length || !nodes[index].equals(node)) {
      return this;
    }
    long[] nextHashes = Arrays.copyOf(hashes, nodes.length - 1);
    NodeId[] nextNodes = Arrays.copyOf(nodes, nodes.length - 1);
    System.arraycopy(hashes, index + 1, nextHashes, index, nodes.length - 1 - index);
    System.arraycopy(nodes, index + 1, nextNodes, index, nodes.length - 1 - index);
    return new HashRing(nextHashes, nextNodes);
  }

  /** Returns the nodes after a node, nearest first, without the node itself. */
  public Vector<NodeId> successors(NodeId of, int count) {
    return walk(of, count, 1);
  }

  /** Returns the nodes before a node, nearest first, without the node itself. */
  public Vector<NodeId> predecessors(NodeId of, int count) {
    return walk(of, count, -1);
  }

  private Vector<NodeId> walk(NodeId of, int count, int direction) {
    int index = insertionIndex(StableHash.of(of.value()), of);
    boolean known = index < nodes.length && nodes[index].equals(of);
    int first = known || direction < 0 ? index + direction : index;
    int others = known ? nodes.length - 1 : nodes.length;
    Vector<NodeId> found = Vector.empty();
    for (int i = 0; i < Math.min(count, others); i++) {
      found = found.append(nodes[Math.floorMod(first + i * direction, nodes.length)]);
    }
    return found;
  }

  /**
   * Returns the fingers of a node: for each {@code i} from 1 to {@code count}, the first node at or
   * after 1 / 2<sup>i * bitsPerFinger</sup> of the ring from it. The node itself is left out.
   *
   * <p>Distances are measured in hash values and not in numbers of nodes, so that a join or a death
   * elsewhere on the ring does not change the fingers.
   */
  public Set<NodeId> fingers(NodeId of, int count, int bitsPerFinger) {
    long position = StableHash.of(of.value());
    Set<NodeId> found = LinkedHashSet.empty();
    for (int i = 1; i <= count && nodes.length > 0; i++) {
      found = found.add(nodeAtOrAfter(position + (1L << (Long.SIZE - i * bitsPerFinger))));
    }
    return found.remove(of);
  }

  private NodeId nodeAtOrAfter(long position) {
    int found = Arrays.binarySearch(hashes, position);
    int index = found < 0 ? -found - 1 : found;
    return nodes[index % nodes.length];
  }

  private int insertionIndex(long hash, NodeId node) {
    int found = Arrays.binarySearch(hashes, hash);
    if (found < 0) {
      return -found - 1;
    }
    int index = found;
    while (index > 0 && hashes[index - 1] == hash) {
      index--;
    }
    while (index < nodes.length && hashes[index] == hash && nodes[index].compareTo(node) < 0) {
      index++;
    }
    return index;
  }
}
