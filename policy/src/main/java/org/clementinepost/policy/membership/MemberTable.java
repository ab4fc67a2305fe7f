package org.clementinepost.policy.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Objects;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MemberUpdate;

/**
 * The latest update about each node, with a hash ring and bucket hashes of the live nodes.
 *
 * <p>Updates about dead nodes are kept for a while, so that older updates cannot bring these nodes
 * back. They are left out of the hashes, because nodes remove them at different times.
 *
 * @param entries the latest update about each node, and when it was recorded
 * @param bucketHashes for each bucket of node names, the XOR of the hashes of its live members
 * @param ring the live members
 */
public record MemberTable(Map<NodeId, Entry> entries, Vector<Integer> bucketHashes, HashRing ring) {
  private static final int BUCKETS = 64;
  private static final MemberTable EMPTY =
      new MemberTable(HashMap.empty(), Vector.fill(BUCKETS, 0), HashRing.empty());

  /** The latest update about a node, and when it was recorded. */
  public record Entry(MemberUpdate update, long updatedMillis) {}

  /** Returns the table without nodes. */
  public static MemberTable empty() {
    return EMPTY;
  }

  /** Returns the latest update about a node. */
  public Option<MemberUpdate> latestUpdate(NodeId node) {
    return entries.get(node).map(Entry::update);
  }

  /** Returns a node if it is alive. */
  public Option<Member> liveMember(NodeId node) {
    return latestUpdate(node).filter(MemberUpdate::isAlive).map(MemberUpdate::member);
  }

  /** Whether an update replaces what is known about its node. */
  public boolean isNewer(MemberUpdate update) {
    return latestUpdate(update.member().node()).forAll(update::supersedes);
  }

  /** Returns this table with an update. */
  public MemberTable withUpdate(MemberUpdate update, long nowMillis) {
    NodeId node = update.member().node();
    Vector<Integer> hashesWithout =
        latestUpdate(node).map(this::withHashToggled).getOrElse(bucketHashes);
    return new MemberTable(
        entries.put(node, new Entry(update, nowMillis)),
        withHashToggled(hashesWithout, update),
        update.isAlive() ? ring.with(node) : ring.without(node));
  }

  /** Returns this table without the nodes that died or left before a point in time. */
  public MemberTable withoutDeadBefore(long beforeMillis) {
    Map<NodeId, Entry> remaining =
        entries.filterValues(
            entry -> entry.update().isAlive() || entry.updatedMillis() >= beforeMillis);
    return remaining.size() == entries.size()
        ? this
        : new MemberTable(remaining, bucketHashes, ring);
  }

  /**
   * Returns the updates about all nodes in the buckets whose hashes differ from another table's.
   */
  public Vector<MemberUpdate> updatesInDifferingBuckets(Vector<Integer> otherHashes) {
    if (otherHashes.size() != BUCKETS || otherHashes.equals(bucketHashes)) {
      return Vector.empty();
    }
    return entries
        .valuesIterator()
        .map(Entry::update)
        .filter(update -> isBucketDifferent(bucketOf(update), otherHashes))
        .toVector();
  }

  private boolean isBucketDifferent(int bucket, Vector<Integer> otherHashes) {
    return !bucketHashes.get(bucket).equals(otherHashes.get(bucket));
  }

  private Vector<Integer> withHashToggled(MemberUpdate update) {
    return withHashToggled(bucketHashes, update);
  }

  private static Vector<Integer> withHashToggled(Vector<Integer> before, MemberUpdate update) {
    if (!update.isAlive()) {
      return before;
    }
    int bucket = bucketOf(update);
    int hash =
        Objects.hash(
            StableHash.of(update.member().node().value()),
            update.member().incarnation(),
            update.refutation());
    return before.update(bucket, before.get(bucket) ^ hash);
  }

  private static int bucketOf(MemberUpdate update) {
    return (int) Math.floorMod(StableHash.of(update.member().node().value()), (long) BUCKETS);
  }
}
