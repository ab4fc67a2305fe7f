package org.clementinepost.policy.feed;

import org.clementinepost.api.NodeId;

/** From where a table is fetched. */
sealed interface FeedSource {
  /** The store itself. */
  record Store() implements FeedSource {}

  /** Another node, which holds a copy of the table. */
  record Relay(NodeId node) implements FeedSource {}
}
