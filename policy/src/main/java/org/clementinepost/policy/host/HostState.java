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
 * @param nextAdmissionId the number of the next admission
 * @param waiting the requests that wait for a slot, the most urgent first
 * @param snapshot the configuration in force
 * @param lastOutgoingCallFailureNanos when a call of one of the backend servers last failed
 * @param stopListener is told what a stopping host has in hand; none while it works
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

  /** The state of a host that has just started. */
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
    Map<BackendServerId, HostedServer> freed =
        id.flatMap(servers::get)
            .map(server -> servers.put(id.get(), withOutcome(server.withSlotReleased(), ended)))
            .getOrElse(servers);
    return new HostState(
        freed,
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
            good ->
                server.withHealth(
                    server.health().withOutcome(good, ended.sentNanos(), ended.nowNanos())))
        .getOrElse(server);
  }
}
