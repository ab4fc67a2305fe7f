package org.clementinepost.node.feed;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.platform.OperatorTable;
import org.clementinepost.policy.feed.FeedTiming;

/** The tables that nodes follow, and may relay to other nodes. */
public enum FeedTable {
  /**
   * The operators' changes. The poll is short, so that an unresponsive store is detected and polled
   * again within about 3 s, before the confirmation of the keys expires.
   */
  OPERATORS(OperatorTable.TABLE, new FeedTiming(2_300, 0, 250)),

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
