package org.clementinepost.policy.host;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.IntConsumer;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.config.Snapshot;

/**
 * The state of a host: its backend servers, their requests in flight and the waiting requests.
 *
 * @param servers the backend servers that have announced themselves or were discovered
 * @param departed the backend servers that have left; announcements up to the given position are
 *     ignored
 * @param admissions the backend server of each request in flight, by the id of the admission
 * @param nextAdmissionId the id of the next admission
 * @param waiting the requests that wait for a slot, the highest priority first
 * @param snapshot the current configuration
 * @param lastOutgoingCallFailureNanos when a call from a backend server of this VM to another
 *     service last failed
 * @param stopListener receives the number of requests in flight while the host stops; none before
 */
public record HostState(
    Map<BackendServerId, HostedServer> servers,
    Map<BackendServerId, AnnouncementOrder> departed,
    Map<Long, BackendServerId> admissions,
    long nextAdmissionId,
    Vector<WaitingRequest> waiting,
    Snapshot snapshot,
    long lastOutgoingCallFailureNanos,
    Option<IntConsumer> stopListener) {

  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

  /** Returns the state of a host that has just started. */
  public static HostState empty() {
    return new HostState(
        HashMap.empty(),
        HashMap.empty(),
        HashMap.empty(),
        1,
        Vector.empty(),
        Snapshot.empty(),
        NEVER_NANOS,
        Option.none());
  }

  HostState withServer(HostedServer server) {
    return withServers(servers.put(server.announcement().server(), server));
  }

  HostState withServers(Map<BackendServerId, HostedServer> next) {
    return new HostState(
        next,
        departed,
        admissions,
        nextAdmissionId,
        waiting,
        snapshot,
        lastOutgoingCallFailureNanos,
        stopListener);
  }

  HostState withDeparted(Map<BackendServerId, AnnouncementOrder> next) {
    return new HostState(
        servers,
        next,
        admissions,
        nextAdmissionId,
        waiting,
        snapshot,
        lastOutgoingCallFailureNanos,
        stopListener);
  }

  HostState withSnapshot(Snapshot next) {
    return new HostState(
        servers,
        departed,
        admissions,
        nextAdmissionId,
        waiting,
        next,
        lastOutgoingCallFailureNanos,
        stopListener);
  }

  HostState withWaiting(Vector<WaitingRequest> next) {
    return new HostState(
        servers,
        departed,
        admissions,
        nextAdmissionId,
        next,
        snapshot,
        lastOutgoingCallFailureNanos,
        stopListener);
  }

  HostState withOutgoingCallFailure(long nowNanos) {
    return new HostState(
        servers, departed, admissions, nextAdmissionId, waiting, snapshot, nowNanos, stopListener);
  }

  HostState withStopListener(IntConsumer next) {
    return new HostState(
        servers,
        departed,
        admissions,
        nextAdmissionId,
        waiting,
        snapshot,
        lastOutgoingCallFailureNanos,
        Option.some(next));
  }

  HostState withAdmission(HostedServer server) {
    BackendServerId id = server.announcement().server();
    return new HostState(
        servers.put(id, server),
        departed,
        admissions.put(nextAdmissionId, id),
        nextAdmissionId + 1,
        waiting,
        snapshot,
        lastOutgoingCallFailureNanos,
        stopListener);
  }

  HostState withRequestEnded(HostEvent.RequestEnded ended) {
    Option<BackendServerId> id = admissions.get(ended.admissionId());
    Map<BackendServerId, HostedServer> updated =
        id.flatMap(servers::get)
            .map(server -> servers.put(id.get(), withOutcome(server.withSlotReleased(), ended)))
            .getOrElse(servers);
    return new HostState(
        updated,
        departed,
        admissions.remove(ended.admissionId()),
        nextAdmissionId,
        waiting,
        snapshot,
        lastOutgoingCallFailureNanos,
        stopListener);
  }

  private HostedServer withOutcome(HostedServer server, HostEvent.RequestEnded ended) {
    return RequestOutcomePolicy.classify(ended, lastOutgoingCallFailureNanos)
        .map(
            success ->
                server.withHealth(
                    server.health().withOutcome(success, ended.sentNanos(), ended.nowNanos())))
        .getOrElse(server);
  }
}
