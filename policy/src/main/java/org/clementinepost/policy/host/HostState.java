package org.clementinepost.policy.host;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Reply;

/**
 * What a host knows of the backend servers behind it.
 *
 * @param servers the backend servers that have announced themselves
 * @param departed those that have left, with the last of their announcements that may still come
 * @param admissions the backend server of each admission that has not ended
 * @param nextAdmission the number of the next admission
 * @param waiting the requests that wait for a slot, the most urgent first
 * @param snapshot the configuration in force
 * @param stopped is told when a stopping host has nothing left to do; none while it works
 */
public record HostState(
    Map<BackendServerId, HostedServer> servers,
    Map<BackendServerId, AnnouncementOrder> departed,
    Map<Long, BackendServerId> admissions,
    long nextAdmission,
    Vector<WaitingRequest> waiting,
    Snapshot snapshot,
    Option<Reply<Boolean>> stopped) {

  /** The state of a host that has just started. */
  public static HostState empty() {
    return new HostState(
        HashMap.empty(),
        HashMap.empty(),
        HashMap.empty(),
        1,
        Vector.empty(),
        Snapshot.empty(),
        Option.none());
  }

  HostState withServer(HostedServer server) {
    return withServers(servers.put(server.announcement().server(), server));
  }

  HostState withServers(Map<BackendServerId, HostedServer> next) {
    return new HostState(next, departed, admissions, nextAdmission, waiting, snapshot, stopped);
  }

  HostState withDeparted(Map<BackendServerId, AnnouncementOrder> next) {
    return new HostState(servers, next, admissions, nextAdmission, waiting, snapshot, stopped);
  }

  HostState withSnapshot(Snapshot next) {
    return new HostState(servers, departed, admissions, nextAdmission, waiting, next, stopped);
  }

  HostState withWaiting(Vector<WaitingRequest> next) {
    return new HostState(servers, departed, admissions, nextAdmission, next, snapshot, stopped);
  }

  HostState withStopped(Reply<Boolean> next) {
    return new HostState(
        servers, departed, admissions, nextAdmission, waiting, snapshot, Option.some(next));
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
        stopped);
  }

  private static HostedServer judged(HostedServer server, HostEvent.Ended ended) {
    return HealthPolicy.verdict(ended)
        .map(
            good ->
                server.with(server.health().answered(good, ended.sentNanos(), ended.nowNanos())))
        .getOrElse(server);
  }
}
