package org.clementinepost.policy.host;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.IntConsumer;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.config.Snapshot;

/**
 * What a host knows of the backend servers behind it.
 *
 * @param servers the backend servers that have announced themselves
 * @param departed those that have left, with the last of their announcements that may still come
 * @param admissions the backend server of each admission that has not ended
 * @param nextAdmission the number of the next admission
 * @param waiting the requests that wait for a slot, the most urgent first
 * @param snapshot the configuration in force
 * @param callFailedNanos when a call of one of the backend servers last failed
 * @param stopped is told what a stopping host has in hand; none while it works
 */
public record HostState(
    Map<BackendServerId, HostedServer> servers,
    Map<BackendServerId, AnnouncementOrder> departed,
    Map<Long, BackendServerId> admissions,
    long nextAdmission,
    Vector<WaitingRequest> waiting,
    Snapshot snapshot,
    long callFailedNanos,
    Option<IntConsumer> stopped) {

  private static final long LONG_AGO_NANOS = Long.MIN_VALUE / 2;

  /** The state of a host that has just started. */
  public static HostState empty() {
    return new HostState(
        HashMap.empty(),
        HashMap.empty(),
        HashMap.empty(),
        1,
        Vector.empty(),
        Snapshot.empty(),
        LONG_AGO_NANOS,
        Option.none());
  }

  HostState withServer(HostedServer server) {
    return withServers(servers.put(server.announcement().server(), server));
  }

  HostState withServers(Map<BackendServerId, HostedServer> next) {
    return new HostState(
        next, departed, admissions, nextAdmission, waiting, snapshot, callFailedNanos, stopped);
  }

  HostState withDeparted(Map<BackendServerId, AnnouncementOrder> next) {
    return new HostState(
        servers, next, admissions, nextAdmission, waiting, snapshot, callFailedNanos, stopped);
  }

  HostState withSnapshot(Snapshot next) {
    return new HostState(
        servers, departed, admissions, nextAdmission, waiting, next, callFailedNanos, stopped);
  }

  HostState withWaiting(Vector<WaitingRequest> next) {
    return new HostState(
        servers, departed, admissions, nextAdmission, next, snapshot, callFailedNanos, stopped);
  }

  HostState withCallFailed(long nowNanos) {
    return new HostState(
        servers, departed, admissions, nextAdmission, waiting, snapshot, nowNanos, stopped);
  }

  HostState withStopped(IntConsumer next) {
    return new HostState(
        servers,
        departed,
        admissions,
        nextAdmission,
        waiting,
        snapshot,
        callFailedNanos,
        Option.some(next));
  }

  HostState admitted(HostedServer server) {
    BackendServerId id = server.announcement().server();
    return new HostState(
        servers.put(id, server),
        departed,
        admissions.put(nextAdmission, id),
        nextAdmission + 1,
        waiting,
        snapshot,
        callFailedNanos,
        stopped);
  }

  HostState ended(HostEvent.Ended ended) {
    Option<BackendServerId> id = admissions.get(ended.admission());
    Map<BackendServerId, HostedServer> freed =
        id.flatMap(servers::get)
            .map(server -> servers.put(id.get(), judged(server.freed(), ended)))
            .getOrElse(servers);
    return new HostState(
        freed,
        departed,
        admissions.remove(ended.admission()),
        nextAdmission,
        waiting,
        snapshot,
        callFailedNanos,
        stopped);
  }

  private HostedServer judged(HostedServer server, HostEvent.Ended ended) {
    return HealthPolicy.verdict(ended, callFailedNanos)
        .map(
            good ->
                server.with(server.health().answered(good, ended.sentNanos(), ended.nowNanos())))
        .getOrElse(server);
  }
}
