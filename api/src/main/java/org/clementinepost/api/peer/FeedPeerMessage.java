package org.clementinepost.api.peer;

import io.vavr.control.Option;
import org.clementinepost.api.StoreVersion;

/** A message by which a node follows a table of the store through another node. */
public sealed interface FeedPeerMessage extends PeerMessage {
  /** Returns the name of the table. */
  String table();

  /** Returns the number of the request, which its sender has chosen. */
  long requestNumber();

  /**
   * Asks for changes of a table.
   *
   * @param version the store's version up to which the sender knows all changes
   * @param storeClockMillis the store's clock as last known to the sender; a newer one is an
   *     answer, even without changes
   * @param waitMillis how long the answer may wait for something new
   */
  record Request(
      String table,
      long requestNumber,
      StoreVersion version,
      long storeClockMillis,
      long waitMillis)
      implements FeedPeerMessage {
    /** Creates a request for changes of a store that does not tell its era. */
    public Request(
        String table, long requestNumber, long version, long storeClockMillis, long waitMillis) {
      this(table, requestNumber, StoreVersion.of(version), storeClockMillis, waitMillis);
    }
  }

  /**
   * Answers a request.
   *
   * @param page the changes; none if the node cannot tell them
   */
  record Response(String table, long requestNumber, Option<FeedPage> page)
      implements FeedPeerMessage {}
}
