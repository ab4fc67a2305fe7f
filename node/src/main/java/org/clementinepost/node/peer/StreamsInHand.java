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
final class StreamsInHand {
  private static final int NOT_TOLD = -1;

  private Map<Address<ConnectionMessage>, Integer> counts = HashMap.empty();
  private Option<IntConsumer> listener = Option.none();
  private int sum;
  private int told = NOT_TOLD;

  /** Names who is told from now on. */
  void tell(IntConsumer next) {
    listener = Option.some(next);
    told = NOT_TOLD;
  }

  boolean isTold() {
    return listener.isDefined();
  }

  /** A connection has been asked how much it has in hand. */
  void unknown(Address<ConnectionMessage> connection) {
    put(connection, 1);
  }

  /** A connection has told how much it has in hand. */
  void changed(Address<ConnectionMessage> connection, int streams) {
    if (counts.containsKey(connection)) {
      put(connection, streams);
    }
    tellIfChanged();
  }

  void ended(Address<ConnectionMessage> connection) {
    sum -= counts.getOrElse(connection, 0);
    counts = counts.remove(connection);
    tellIfChanged();
  }

  private void put(Address<ConnectionMessage> connection, int streams) {
    sum += streams - counts.getOrElse(connection, 0);
    counts = counts.put(connection, streams);
  }

  void tellIfChanged() {
    if (listener.isDefined() && sum != told) {
      told = sum;
      listener.get().accept(sum);
    }
  }
}
