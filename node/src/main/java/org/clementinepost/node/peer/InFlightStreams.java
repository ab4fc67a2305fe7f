package org.clementinepost.node.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.function.IntConsumer;
import org.clementinepost.kernel.Address;

/**
 * Counts the requests of other nodes that a stopping node has in hand, over all its connections.
 *
 * <p>The peer service's task alone uses it. A connection that has not told yet counts as busy.
 */
final class InFlightStreams {
  private static final int NOT_REPORTED = -1;

  private Map<Address<ConnectionMessage>, Integer> counts = HashMap.empty();
  private Option<IntConsumer> listener = Option.none();
  private int total;
  private int lastReported = NOT_REPORTED;

  /** Names who is told from now on. */
  void setListener(IntConsumer next) {
    listener = Option.some(next);
    lastReported = NOT_REPORTED;
  }

  boolean hasListener() {
    return listener.isDefined();
  }

  /** A connection has been asked how much it has in hand. */
  void addConnection(Address<ConnectionMessage> connection) {
    put(connection, 1);
  }

  /** A connection has told how much it has in hand. */
  void update(Address<ConnectionMessage> connection, int streams) {
    if (counts.containsKey(connection)) {
      put(connection, streams);
    }
    notifyIfChanged();
  }

  void removeConnection(Address<ConnectionMessage> connection) {
    total -= counts.getOrElse(connection, 0);
    counts = counts.remove(connection);
    notifyIfChanged();
  }

  private void put(Address<ConnectionMessage> connection, int streams) {
    total += streams - counts.getOrElse(connection, 0);
    counts = counts.put(connection, streams);
  }

  void notifyIfChanged() {
    if (listener.isDefined() && total != lastReported) {
      lastReported = total;
      listener.get().accept(total);
    }
  }
}
