package org.clementinepost.policy.quota;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;

/**
 * The partitions that a node is the home of, and until when it may act as such.
 *
 * @param owned the tenure of each partition
 * @param validUntilNanos when they end unless they are confirmed again
 */
public record Tenures(Map<Integer, Tenure> owned, long validUntilNanos) {
  private static final Tenures NONE = new Tenures(HashMap.empty(), Long.MIN_VALUE);

  /**
   * One partition's tenure.
   *
   * @param epoch counts the tenures of the partition
   * @param mintsFromNanos when minting begins, the tokens of earlier tenures being spent or void
   * @param first whether nobody had the partition before, so that buckets may start full
   */
  public record Tenure(long epoch, long mintsFromNanos, boolean first) {}

  /** No partition at all. */
  public static Tenures none() {
    return NONE;
  }

  /** The tenure of a partition, if it holds now. */
  public Option<Tenure> at(int partition, long nowNanos) {
    if (nowNanos >= validUntilNanos) {
      return Option.none();
    }
    return owned.get(partition).filter(tenure -> nowNanos >= tenure.mintsFromNanos());
  }
}
