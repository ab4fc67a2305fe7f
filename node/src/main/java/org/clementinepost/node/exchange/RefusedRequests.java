package org.clementinepost.node.exchange;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import org.clementinepost.api.RequestId;

/**
 * The requests that a backend server has refused on one connection.
 *
 * <p>A server may send a refusal a second time, late. If another attempt of the same request is
 * then pending on that connection, its id does not tell the copy from a refusal of the new attempt,
 * so only the first refusal of a request on a connection is believed.
 *
 * @param ids the ids of the requests
 */
record RefusedRequests(Set<RequestId> ids) {
  private static final AttributeKey<RefusedRequests> KEY =
      AttributeKey.valueOf(RefusedRequests.class, "refused-requests");

  /** The number of requests after which a connection is no longer reused, to bound the memory. */
  private static final int MAX_REQUESTS = 256;

  private static final RefusedRequests NONE = new RefusedRequests(HashSet.empty());

  /** Returns the requests that were refused on a connection so far. */
  static RefusedRequests on(Channel channel) {
    RefusedRequests known = channel.attr(KEY).get();
    return known == null ? NONE : known;
  }

  boolean contains(RequestId id) {
    return ids.contains(id);
  }

  boolean isFull() {
    return ids.size() >= MAX_REQUESTS;
  }

  RefusedRequests with(RequestId id) {
    return new RefusedRequests(ids.add(id));
  }

  /** Keeps the requests with a connection. */
  void store(Channel channel) {
    channel.attr(KEY).set(this);
  }
}
