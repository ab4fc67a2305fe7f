package org.clementinepost.policy.feed;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.NodeId;
import org.clementinepost.policy.membership.StableHash;

/**
 * Decides which nodes of a failure domain read a table from the store, by rendezvous hashing.
 *
 * <p>Each node ranks the nodes that it knows; the first ones read the store and the others ask
 * them. No agreement is needed: a node that nobody takes for a reader reads the store needlessly,
 * and one that is taken for a reader without knowing relays what it has from its own source.
 */
final class RelayRanking {
  /**
   * The nodes of a failure domain that read a table from the store. With one, its failure is found
   * after one relay was asked in vain.
   */
  private static final int READERS = 1;

  /** The nodes tried, in order of rank, before a node falls back to the store. */
  private static final int MAX_RELAYS_TRIED = 4;

  private final String table;
  private final NodeId self;

  RelayRanking(String table, NodeId self) {
    this.table = table;
    this.self = self;
  }

  /** Returns the nodes in order of rank. */
  Vector<NodeId> rank(Vector<NodeId> nodes) {
    return nodes.distinct().sortBy(node -> StableHash.of(table + "/" + node.value()));
  }

  /** Whether this node reads the table from the store. */
  boolean isReader(Vector<NodeId> ranked, Map<NodeId, Long> avoided) {
    Vector<NodeId> usable = usable(ranked, avoided);
    return ranked.size() <= READERS + 1 || usable.take(READERS).contains(self);
  }

  /** Returns the relay to ask, if one is left. */
  Option<NodeId> relay(Vector<NodeId> ranked, Map<NodeId, Long> avoided) {
    return usable(ranked.remove(self).take(MAX_RELAYS_TRIED), avoided).headOption();
  }

  private static Vector<NodeId> usable(Vector<NodeId> nodes, Map<NodeId, Long> avoided) {
    return nodes.reject(avoided::containsKey);
  }
}
