package org.clementinepost.policy.quota;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.clementinepost.api.NodeId;

/**
 * A node's own tenure as it knows it.
 *
 * @param generation the number of the tenure
 * @param item its record, once the table has shown it
 * @param writing whether a write of the record may still take effect
 * @param tableNanos the sending of the last read that the table answered
 * @param validUntilNanos until when the node may act as a home
 * @param renewedNanos when it was last tried to renew
 * @param round the question to the witnesses that waits for answers
 */
record Registration(
    long generation,
    Option<Versioned<NodeTenure>> item,
    boolean writing,
    long tableNanos,
    long validUntilNanos,
    long renewedNanos,
    Round round) {

  /** A question to the witnesses. */
  record Round(long number, long sentNanos, Set<NodeId> confirmed) {}

  static Registration none(long generation, long nowNanos) {
    return new Registration(
        generation,
        Option.none(),
        false,
        nowNanos,
        nowNanos,
        nowNanos,
        new Round(0, 0, HashSet.empty()));
  }

  boolean validAt(long nowNanos) {
    return item.isDefined() && nowNanos < validUntilNanos;
  }

  Registration withItem(Versioned<NodeTenure> next) {
    return new Registration(
        generation, Option.some(next), false, tableNanos, validUntilNanos, renewedNanos, round);
  }

  Registration whileWriting() {
    return new Registration(
        generation, item, true, tableNanos, validUntilNanos, renewedNanos, round);
  }

  /** Confirmed by the table from the sending of a read on. */
  Registration readAt(long sentNanos, long leaseNanos) {
    return new Registration(
        generation,
        item,
        writing,
        Math.max(tableNanos, sentNanos),
        Math.max(validUntilNanos, sentNanos + leaseNanos),
        renewedNanos,
        round);
  }

  Registration validUntil(long untilNanos) {
    return new Registration(generation, item, writing, tableNanos, untilNanos, renewedNanos, round);
  }

  Registration renewingAt(long nowNanos) {
    return new Registration(
        generation, item, writing, tableNanos, validUntilNanos, nowNanos, round);
  }

  Registration withRound(Round next) {
    return new Registration(
        generation, item, writing, tableNanos, validUntilNanos, renewedNanos, next);
  }
}
