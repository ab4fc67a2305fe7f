package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MemberUpdate;

/**
 * The news that waits to be passed on.
 *
 * <p>A lone piece of news goes at once; what comes within {@link #GOSSIP_INTERVAL_MILLIS} of it
 * waits and goes together, a bounded number at a time, so that the loss of a failure domain is
 * spread over seconds.
 *
 * @param queued the news, oldest first
 * @param lastSentMillis when news was passed on last
 */
record GossipQueue(Vector<QueuedUpdate> queued, long lastSentMillis) {
  private static final long GOSSIP_INTERVAL_MILLIS = 200;
  private static final int MAX_UPDATES_PER_INTERVAL = 16;
  private static final GossipQueue EMPTY = new GossipQueue(Vector.empty(), Long.MIN_VALUE / 2);

  /** A piece of news, and the node that it came from, which need not have it back. */
  record QueuedUpdate(MemberUpdate update, Option<NodeId> sender) {}

  static GossipQueue empty() {
    return EMPTY;
  }

  GossipQueue enqueue(MemberUpdate update, Option<NodeId> from) {
    Vector<QueuedUpdate> others =
        queued.reject(item -> item.update().member().node().equals(update.member().node()));
    return new GossipQueue(others.append(new QueuedUpdate(update, from)), lastSentMillis);
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
