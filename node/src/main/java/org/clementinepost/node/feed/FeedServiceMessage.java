package org.clementinepost.node.feed;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.StoreVersion;
import org.clementinepost.api.peer.FeedPage;
import org.clementinepost.api.peer.FeedPeerMessage;
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.feed.ConfirmedPage;

/** A message to the feed service of a table. */
public sealed interface FeedServiceMessage {
  /**
   * The service of this node that uses the table waits for news.
   *
   * @param version the version up to which it knows all changes; none if it needs all rows
   * @param waitMillis how long it waits
   */
  record Subscribe(
      Option<StoreVersion> version, long waitMillis, Reply<Either<Failure, ConfirmedPage>> reply)
      implements FeedServiceMessage {}

  /** The nodes of the own failure domain that relay tables, this one included, have changed. */
  record RelaysChanged(Vector<NodeId> relays) implements FeedServiceMessage {}

  /** A message from another node has arrived. */
  record FromPeer(NodeId from, FeedPeerMessage message) implements FeedServiceMessage {}

  /** A read from the store has succeeded or failed. */
  record StoreRead(long number, long requestNanos, Either<Failure, FeedPage> result)
      implements FeedServiceMessage {}

  /** The timer has fired. */
  record Tick() implements FeedServiceMessage {}
}
