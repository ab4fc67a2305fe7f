package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MemberUpdate;

/**
 * The member updates that wait to be gossiped.
 *
 * <p>A single update is sent at once. Updates that arrive within {@link #GOSSIP_INTERVAL_MILLIS}
 * after it are queued and sent together, a bounded number at a time, so that the updates about the
 * loss of a failure domain are spread over seconds.
 *
 * @param queued the updates, oldest first
 * @param lastSentMillis when updates were last sent
 */
record GossipQueue(Vector<QueuedUpdate> queued, long lastSentMillis) {
  private static final long GOSSIP_INTERVAL_MILLIS = 200;
  private static final int MAX_UPDATES_PER_INTERVAL = 16;
  private static final GossipQueue EMPTY = new GossipQueue(Vector.empty(), Long.MIN_VALUE / 2);

  /** An update and the node that sent it, to which it is not sent back. */
  record QueuedUpdate(MemberUpdate update, Option<NodeId> sender) {}

  static GossipQueue empty() {
    return EMPTY;
  }

  GossipQueue enqueue(MemberUpdate update, Option<NodeId> sender) {
    Vector<QueuedUpdate> others =
        queued.reject(item -> item.update().member().node().equals(update.member().node()));
    return new GossipQueue(others.append(new QueuedUpdate(update, sender)), lastSentMillis);
  }

  boolean isDue(long nowMillis) {
    return !queued.isEmpty() && nowMillis - lastSentMillis >= GOSSIP_INTERVAL_MILLIS;
  }

  Vector<QueuedUpdate> nextBatch() {
    return queued.take(MAX_UPDATES_PER_INTERVAL);
  }

  GossipQueue withoutSentBatch(long nowMillis) {
    return new GossipQueue(queued.drop(MAX_UPDATES_PER_INTERVAL), nowMillis);
  }
}
