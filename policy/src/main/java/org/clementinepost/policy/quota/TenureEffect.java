package org.clementinepost.policy.quota;

import io.vavr.control.Option;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.QuotaMessage;

/** What the decision on tenures asks for. */
public sealed interface TenureEffect {
  /** Reads a node's record; the time of asking comes back with the answer. */
  record ReadNode(NodeTenure.Ref ref, long sentNanos) implements TenureEffect {}

  /** Writes a node's record if it is at a version, or absent when none is given. */
  record WriteNode(NodeTenure next, Option<Long> expectedVersion) implements TenureEffect {}

  /** Deletes a node's record, all partitions being given back. */
  record DeleteNode(NodeTenure.Ref ref, long expectedVersion) implements TenureEffect {}

  /** Reads a partition's record. */
  record ReadPartition(int partition) implements TenureEffect {}

  /** Writes a partition's record if it is at a version, or absent when none is given. */
  record WritePartition(PartitionTenure next, Option<Long> expectedVersion)
      implements TenureEffect {}

  /** Sends a message to another node. */
  record Send(NodeId to, QuotaMessage message) implements TenureEffect {}

  /** The node has given back all that it could. */
  record Released() implements TenureEffect {}
}
