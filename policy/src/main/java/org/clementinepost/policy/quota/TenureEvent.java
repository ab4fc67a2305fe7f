package org.clementinepost.policy.quota;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.QuotaMessage;

/** What the decision on tenures is told. */
public sealed interface TenureEvent {
  /** Somebody asks for tokens of a partition that this node is not the home of. */
  record Wanted(int partition, long nowNanos) implements TenureEvent {}

  /** The fleet has changed; this node is one of the members. */
  record Members(Vector<Member> members) implements TenureEvent {}

  /** Time has passed. */
  record Tick(long nowNanos) implements TenureEvent {}

  /** The table has answered a {@link TenureEffect.ReadNode}. */
  record NodeRead(
      NodeTenure.Ref ref,
      long sentNanos,
      Either<Failure, Option<Versioned<NodeTenure>>> result,
      long nowNanos)
      implements TenureEvent {}

  /** The table has answered a {@link TenureEffect.WriteNode}. */
  record NodeWritten(
      NodeTenure written, Either<Failure, Versioned<NodeTenure>> result, long nowNanos)
      implements TenureEvent {}

  /** The table has answered a {@link TenureEffect.ReadPartition}. */
  record PartitionRead(
      int partition, Either<Failure, Option<Versioned<PartitionTenure>>> result, long nowNanos)
      implements TenureEvent {}

  /** The table has answered a {@link TenureEffect.WritePartition}. */
  record PartitionWritten(
      PartitionTenure written, Either<Failure, Versioned<PartitionTenure>> result, long nowNanos)
      implements TenureEvent {}

  /** Another node has sent a message on tenures. */
  record FromPeer(NodeId from, QuotaMessage message, long nowNanos) implements TenureEvent {}

  /** The node is stopping: its partitions are given back. */
  record Stopping(long nowNanos) implements TenureEvent {}
}
