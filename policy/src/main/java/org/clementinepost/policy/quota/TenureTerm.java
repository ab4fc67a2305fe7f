package org.clementinepost.policy.quota;

import io.vavr.collection.Vector;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.NodeId;

/**
 * How long tenures last, and what ends them for certain.
 *
 * <p>The lease grows with the fleet, so that the reads that renew it stay within the platform's
 * budget; each tenure's record in the table says its own.
 */
final class TenureTerm {
  /** A home that has not reached the table for this long stops, whatever its witnesses say. */
  static final long OUTAGE_LIMIT_NANOS = TimeUnit.HOURS.toNanos(6);

  static final long MAX_LEASE_MILLIS = 40_000;
  private static final long MIN_LEASE_MILLIS = 3_000;
  private static final long LEASE_MILLIS_PER_MEMBER = 9;
  private static final int RENEWALS_PER_LEASE = 3;
  private static final int MAX_WITNESSES = 15;
  private static final int QUORUM_PERCENT = 60;

  /** Two clocks differ in speed by less than one part in this many. */
  private static final long CLOCK_SPEED_PARTS = 50;

  private TenureTerm() {}

  static long leaseMillis(int members) {
    return Math.max(
        MIN_LEASE_MILLIS, Math.min(MAX_LEASE_MILLIS, members * LEASE_MILLIS_PER_MEMBER));
  }

  static long leaseNanos(NodeTenure tenure) {
    return TimeUnit.MILLISECONDS.toNanos(tenure.leaseMillis());
  }

  static long renewNanos(NodeTenure tenure) {
    return leaseNanos(tenure) / RENEWALS_PER_LEASE;
  }

  /** How long others wait until a tenure and every grant made under it have ended. */
  static long endNanos(long leaseMillis) {
    long leaseNanos = TimeUnit.MILLISECONDS.toNanos(leaseMillis);
    return leaseNanos + leaseNanos / CLOCK_SPEED_PARTS + drainNanos();
  }

  /** How long grants last that were made just before a home stopped. */
  static long drainNanos() {
    return GrantLease.LEASE_NANOS + 2 * GrantLease.MARGIN_NANOS;
  }

  /** How long a witness that has started keeps silent to a tenure with this lease. */
  static long silenceNanos(long leaseMillis) {
    long leaseNanos = TimeUnit.MILLISECONDS.toNanos(leaseMillis);
    return leaseNanos + leaseNanos / CLOCK_SPEED_PARTS + GrantLease.MARGIN_NANOS;
  }

  /** The nodes that confirm a node's tenure while the table is away. */
  static Vector<NodeId> witnesses(NodeId node, Vector<NodeId> members) {
    return members
        .filter(member -> !member.equals(node))
        .sortBy(member -> Partitions.hash(Partitions.hash(0, node.value()), member.value()))
        .take(MAX_WITNESSES);
  }

  /** Any two sets of this many witnesses have one in common. */
  static int quorum(int witnesses) {
    return (witnesses * QUORUM_PERCENT + 99) / 100;
  }
}
