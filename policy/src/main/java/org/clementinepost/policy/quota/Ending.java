package org.clementinepost.policy.quota;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.clementinepost.api.NodeId;

/**
 * Another node's tenure that this node is ending, or has ended.
 *
 * @param fenced the record with its end, once the table has shown it
 * @param fencedNanos when the table showed it
 * @param noted the witnesses that have taken note
 * @param overNanos from when the tenure and its grants are over for certain
 * @param partitions the partitions to take afterwards
 * @param triedNanos when the last step was tried
 */
record Ending(
    Option<NodeTenure> fenced,
    long fencedNanos,
    Set<NodeId> noted,
    Option<Long> overNanos,
    Set<Integer> partitions,
    long triedNanos) {

  static Ending of(int partition, long nowNanos) {
    return new Ending(
        Option.none(), 0, HashSet.empty(), Option.none(), HashSet.of(partition), nowNanos);
  }

  boolean over(long nowNanos) {
    return overNanos.exists(over -> nowNanos >= over);
  }

  Ending withPartition(int partition) {
    return new Ending(fenced, fencedNanos, noted, overNanos, partitions.add(partition), triedNanos);
  }

  Ending withoutPartitions() {
    return new Ending(fenced, fencedNanos, noted, overNanos, HashSet.empty(), triedNanos);
  }

  Ending fencedAt(NodeTenure tenure, long nowNanos) {
    return new Ending(Option.some(tenure), nowNanos, noted, overNanos, partitions, nowNanos);
  }

  Ending notedBy(NodeId witness) {
    return new Ending(fenced, fencedNanos, noted.add(witness), overNanos, partitions, triedNanos);
  }

  Ending overAt(long nanos) {
    return new Ending(fenced, fencedNanos, noted, Option.some(nanos), partitions, triedNanos);
  }

  Ending triedAt(long nowNanos) {
    return new Ending(fenced, fencedNanos, noted, overNanos, partitions, nowNanos);
  }
}
