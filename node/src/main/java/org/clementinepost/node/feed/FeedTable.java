package org.clementinepost.node.feed;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.platform.OperatorTable;
import org.clementinepost.policy.feed.FeedTiming;

/** The tables that nodes follow, and may relay to other nodes. */
public enum FeedTable {
  /**
   * The operators' changes. The poll is short, so that a reader that has lost the store is found by
   * those that ask it before a change has to be in force.
   */
  OPERATORS(OperatorTable.TABLE, new FeedTiming(900, 0, 250)),

  /** The nodes and their backend servers. Many rows often change at about the same time. */
  NODES("nodes", new FeedTiming(6_000, 700, 500));

  private final String tableName;
  private final FeedTiming timing;

  FeedTable(String tableName, FeedTiming timing) {
    this.tableName = tableName;
    this.timing = timing;
  }

  /** Returns the name of the table in the store. */
  public String tableName() {
    return tableName;
  }

  FeedTiming timing() {
    return timing;
  }

  /** Returns the table with a name, if it is one of these. */
  public static Option<FeedTable> ofName(String name) {
    return Vector.of(values()).find(table -> table.tableName.equals(name));
  }
}
