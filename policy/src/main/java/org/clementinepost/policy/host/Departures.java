package org.clementinepost.policy.host;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.clementinepost.api.BackendServerId;

/**
 * The backend servers of a host that are leaving or have left.
 *
 * <p>An announcement up to the position of its server is void: it was sent before the server
 * announced that it leaves.
 *
 * @param positions the last void position of each server
 */
public record Departures(Map<BackendServerId, AnnouncementOrder> positions) {
  /** The maximum number of servers to remember; the oldest starts are forgotten first. */
  private static final int MAX_SERVERS = 64;

  private static final Departures NONE = new Departures(HashMap.empty());

  /** Returns the departures of a host that no backend server has left. */
  public static Departures none() {
    return NONE;
  }

  /** Whether a server is leaving or has left. */
  public boolean contains(BackendServerId server) {
    return positions.containsKey(server);
  }

  /** Whether an announcement of a server is void. */
  public boolean covers(BackendServerId server, AnnouncementOrder order) {
    return positions.get(server).exists(last -> order.compareTo(last) <= 0);
  }

  /**
   * Whether the departure of a server that announces itself at the given position is known. A
   * server that leaves accepts no requests until it starts again.
   */
  public boolean containsStart(BackendServerId server, AnnouncementOrder order) {
    return positions
        .get(server)
        .exists(last -> last.serverStartMillis() >= order.serverStartMillis());
  }

  /** Returns these departures and one more; of two for the same server, the later one holds. */
  public Departures with(BackendServerId server, AnnouncementOrder order) {
    if (covers(server, order)) {
      return this;
    }
    Map<BackendServerId, AnnouncementOrder> kept =
        contains(server) || positions.size() < MAX_SERVERS ? positions : withoutOldest();
    return new Departures(kept.put(server, order));
  }

  private Map<BackendServerId, AnnouncementOrder> withoutOldest() {
    return positions.toVector().sortBy(entry -> entry._2).tail().toMap(entry -> entry);
  }

  /** Returns these departures and others. */
  public Departures withAll(Departures others) {
    return others
        .positions()
        .foldLeft(this, (departures, entry) -> departures.with(entry._1, entry._2));
  }
}
