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
 * The newest news of each node, with hashes over the live ones.
 *
 * <p>News of the dead is kept for a while, so that older news cannot bring them back, but it does
 * not enter the hashes: nodes forget it at different times.
 *
 * @param entries the newest news of each node, and when it came
 * @param bucketHashes the exclusive or of the hashes of the live members in each bucket of names
 * @param ring the live members
 */
public record MemberTable(Map<NodeId, Entry> entries, Vector<Integer> bucketHashes, HashRing ring) {
  private static final int BUCKETS = 64;
  private static final MemberTable EMPTY =
      new MemberTable(HashMap.empty(), Vector.fill(BUCKETS, 0), HashRing.empty());

  /** The news of one node, and when it came. */
  public record Entry(MemberUpdate update, long updatedMillis) {}

  /** The table without nodes. */
  public static MemberTable empty() {
    return EMPTY;
  }

  /** The newest news of a node. */
  public Option<MemberUpdate> latestUpdate(NodeId node) {
    return entries.get(node).map(Entry::update);
  }

  /** A node that takes part. */
  public Option<Member> liveMember(NodeId node) {
    return latestUpdate(node).filter(MemberUpdate::isAlive).map(MemberUpdate::member);
  }

  /** Whether a piece of news is newer than what is known. */
  public boolean isNewer(MemberUpdate update) {
    return latestUpdate(update.member().node()).forAll(update::supersedes);
  }

  /** This table with a piece of news. */
  public MemberTable withUpdate(MemberUpdate update, long nowMillis) {
    NodeId node = update.member().node();
    Vector<Integer> without = latestUpdate(node).map(this::withHashToggled).getOrElse(bucketHashes);
    return new MemberTable(
        entries.put(node, new Entry(update, nowMillis)),
        withHashToggled(without, update),
        update.isAlive() ? ring.with(node) : ring.without(node));
  }

  /** This table without the news of nodes that died or left before an instant. */
  public MemberTable withoutDeadBefore(long millis) {
    Map<NodeId, Entry> kept =
        entries.filterValues(entry -> entry.update().isAlive() || entry.updatedMillis() >= millis);
    return kept.size() == entries.size() ? this : new MemberTable(kept, bucketHashes, ring);
  }

  /** The news of all nodes in the buckets that differ from another table's. */
  public Vector<MemberUpdate> updatesInDifferingBuckets(Vector<Integer> others) {
    if (others.size() != BUCKETS || others.equals(bucketHashes)) {
      return Vector.empty();
    }
    return entries
        .valuesIterator()
        .map(Entry::update)
        .filter(update -> isBucketDifferent(bucketOf(update), others))
        .toVector();
  }

  private boolean isBucketDifferent(int bucket, Vector<Integer> others) {
    return !bucketHashes.get(bucket).equals(others.get(bucket));
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
