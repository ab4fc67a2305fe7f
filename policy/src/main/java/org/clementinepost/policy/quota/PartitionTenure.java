package org.clementinepost.policy.quota;

import org.clementinepost.api.NodeId;

/**
 * A partition's home, as the table has it.
 *
 * @param partition the partition
 * @param node its home
 * @param generation the home's tenure
 * @param epoch counts the partition's homes
 * @param released whether the home has given it back
 */
public record PartitionTenure(
    int partition, NodeId node, long generation, long epoch, boolean released) {
  NodeTenure.Ref ref() {
    return new NodeTenure.Ref(node, generation);
  }

  PartitionTenure handedBack() {
    return new PartitionTenure(partition, node, generation, epoch, true);
  }
}
