package org.clementinepost.node.peer;

import java.util.HashMap;
import java.util.Map;
import org.clementinepost.api.peer.PeerMessage;
import org.clementinepost.kernel.Address;
import org.clementinepost.node.metrics.MetricsMessage;

/**
 * Counts the messages that one connection sends, by kind, and passes the counts on now and then.
 */
final class SentMessageCounts {
  private static final String PREFIX = "peer.sent.";

  private final Address<MetricsMessage> metrics;
  private final Map<Class<?>, Integer> counts = new HashMap<>();

  SentMessageCounts(Address<MetricsMessage> metrics) {
    this.metrics = metrics;
  }

  void count(PeerMessage message) {
    counts.merge(message.getClass(), 1, Integer::sum);
  }

  /** Adds the counts to the metrics of the node, and starts anew. */
  void flush() {
    for (Map.Entry<Class<?>, Integer> entry : counts.entrySet()) {
      metrics.send(
          new MetricsMessage.AddToCounter(PREFIX + name(entry.getKey()), entry.getValue()));
    }
    counts.clear();
  }

  /** Returns the name with that of its group, since simple names repeat: {@code Load.Query}. */
  private static String name(Class<?> kind) {
    Class<?> group = kind.getEnclosingClass();
    String prefix =
        group == null ? "" : group.getSimpleName().replaceFirst("(Peer)?Message$", "") + '.';
    return prefix + kind.getSimpleName();
  }
}
