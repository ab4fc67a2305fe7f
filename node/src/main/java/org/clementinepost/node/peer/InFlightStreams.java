package org.clementinepost.node.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.function.IntConsumer;
import org.clementinepost.kernel.Address;

/**
 * Counts the requests of other nodes that are in flight at a stopping node, over all connections.
 *
 * <p>A connection that hasn't reported yet counts as one stream. Only the task of the peer service
 * uses this class.
 */
final class InFlightStreams {
  private static final int NOT_REPORTED = -1;

  private Map<Address<ConnectionMessage>, Integer> counts = HashMap.empty();
  private Option<IntConsumer> listener = Option.none();
  private int total;
  private int lastReported = NOT_REPORTED;

  /** Sets the listener that receives the total. */
  void setListener(IntConsumer next) {
    listener = Option.some(next);
    lastReported = NOT_REPORTED;
  }

  boolean hasListener() {
    return listener.isDefined();
  }

  /** Adds a connection that has been asked for its number of streams. */
  void addConnection(Address<ConnectionMessage> connection) {
    put(connection, 1);
  }

  /** Updates the number of streams that a connection reports. */
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
