package org.clementinepost.policy.host;

import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.BackendServerId;

/**
 * Applies announcements of backend servers to the host's state and ignores stale ones.
 *
 * <p>An announcement may arrive after its backend server has ended and another one has started at
 * the same address. The later start wins; within the same start, the higher sequence number wins.
 */
final class AnnouncementPolicy {
  private static final long ANNOUNCEMENT_TTL_NANOS = TimeUnit.SECONDS.toNanos(6);

  private AnnouncementPolicy() {}

  static HostState onAnnouncement(HostState state, HostEvent.Announced announced) {
    Announcement announcement = announced.announcement();
    if (announcement.state() == Announcement.State.GONE) {
      return onDeparture(state, announcement);
    }
    if (isStale(state, announcement)) {
      return state;
    }
    Map<BackendServerId, HostedServer> others =
        state.servers().filterValues(server -> !isReplaced(server, announcement));
    HostedServer next =
        state
            .servers()
            .get(announcement.server())
            .filter(server -> isSameStart(server.announcement(), announcement))
            .map(server -> server.withAnnouncement(announcement, announced.nowNanos()))
            .getOrElse(() -> HostedServer.of(announcement, announced.nowNanos()));
    HostState announcedState = state.withServers(others).withServer(next);
    return announcement
        .departureOrder()
        .map(
            order ->
                announcedState.withDeparted(state.departed().with(announcement.server(), order)))
        .getOrElse(announcedState);
  }

  /**
   * Adds the departures before a restart; a server that serves by a void announcement is removed.
   */
  static HostState onDeparturesRestored(HostState state, Departures restored) {
    Departures departed = state.departed().withAll(restored);
    return state
        .withDeparted(departed)
        .withServers(state.servers().filterValues(server -> !isVoid(server, departed)));
  }

  private static boolean isVoid(HostedServer server, Departures departed) {
    Announcement known = server.announcement();
    return known.state() == Announcement.State.SERVING
        && known.order().exists(order -> departed.covers(known.server(), order));
  }

  /** Adds a backend server that was discovered at node startup, unless one has announced itself. */
  static HostState onDiscovery(HostState state, HostEvent.Discovered discovered) {
    Announcement announcement = discovered.announcement();
    boolean alreadyAnnounced =
        state.servers().nonEmpty() || state.departed().contains(announcement.server());
    return alreadyAnnounced
        ? state
        : state.withServer(HostedServer.of(announcement, discovered.nowNanos()));
  }

  private static boolean isStale(HostState state, Announcement announcement) {
    if (announcement.order().isEmpty()) {
      return false;
    }
    AnnouncementOrder order = announcement.order().get();
    return state.departed().covers(announcement.server(), order)
        || state.servers().values().exists(server -> isSuperseded(order, server, announcement));
  }

  private static boolean isSuperseded(
      AnnouncementOrder order, HostedServer server, Announcement announcement) {
    Announcement known = server.announcement();
    if (known.order().isEmpty()) {
      return false;
    }
    if (known.server().equals(announcement.server())) {
      return order.compareTo(known.order().get()) <= 0;
    }
    return known.address().equals(announcement.address())
        && order.serverStartMillis() < known.order().get().serverStartMillis();
  }

  /** Whether a backend server is replaced by another that announces itself at its address. */
  private static boolean isReplaced(HostedServer server, Announcement announcement) {
    return announcement.order().isDefined()
        && server.announcement().address().equals(announcement.address())
        && !server.announcement().server().equals(announcement.server());
  }

  private static boolean isSameStart(Announcement known, Announcement next) {
    if (known.order().contains(AnnouncementOrder.BEFORE_FIRST_ANNOUNCEMENT)) {
      return true;
    }
    return known
        .order()
        .map(AnnouncementOrder::serverStartMillis)
        .equals(next.order().map(AnnouncementOrder::serverStartMillis));
  }

  private static HostState onDeparture(HostState state, Announcement announcement) {
    BackendServerId id = announcement.server();
    Option<AnnouncementOrder> known =
        state.servers().get(id).flatMap(server -> server.announcement().order());
    boolean stale = announcement.order().exists(order -> known.exists(k -> order.compareTo(k) < 0));
    if (stale) {
      return state;
    }
    HostState without = state.withServers(state.servers().remove(id));
    Option<AnnouncementOrder> last = announcement.order().orElse(known);
    if (last.isEmpty()) {
      return without;
    }
    return without.withDeparted(state.departed().with(id, last.get().latestOfSameStart()));
  }

  static HostState withoutExpired(HostState state, long nowNanos) {
    return state.withServers(
        state
            .servers()
            .filterValues(
                server -> nowNanos - server.lastAnnouncedNanos() < ANNOUNCEMENT_TTL_NANOS));
  }
}
