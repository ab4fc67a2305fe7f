package org.clementinepost.policy.host;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.IntConsumer;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.config.Snapshot;

/**
 * The state of a host: its backend servers, their requests in flight and the waiting requests.
 *
 * @param servers the backend servers that have announced themselves or were discovered
 * @param departed the backend servers that are leaving or have left
 * @param admissions the requests in flight, by the id of the admission
 * @param nextAdmissionId the id of the next admission
 * @param waiting the requests that wait for a slot, those of each server in the planned order
 * @param snapshot the current configuration
 * @param lastOutgoingCallFailureNanos when a call from a backend server of this VM to another
 *     service last failed
 * @param stopListener receives the number of requests in flight while the host stops; none before
 */
public record HostState(
    Map<BackendServerId, HostedServer> servers,
    Departures departed,
    Map<Long, AdmittedRequest> admissions,
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
        Departures.none(),
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
    return toBuilder().servers(next).build();
  }

  HostState withDeparted(Departures next) {
    return toBuilder().departed(next).build();
  }

  HostState withSnapshot(Snapshot next) {
    return toBuilder().snapshot(next).build();
  }

  HostState withWaiting(Vector<WaitingRequest> next) {
    return toBuilder().waiting(next).build();
  }

  HostState withOutgoingCallFailure(long nowNanos) {
    return toBuilder().lastOutgoingCallFailureNanos(nowNanos).build();
  }

  HostState withStopListener(IntConsumer next) {
    return toBuilder().stopListener(Option.some(next)).build();
  }

  HostState withAdmission(
      HostedServer server, RequestHead head, Option<RunCharge> charge, long nowNanos) {
    BackendServerId id = server.announcement().server();
    HostedServer charged =
        charge.fold(() -> server, c -> server.withShares(server.shares().withAdmission(c)));
    AdmittedRequest admitted =
        new AdmittedRequest(
            id,
            head.requestId(),
            RequestKind.of(head),
            nowNanos,
            SlotExpiry.maxHeldNanos(head.timeoutMillis()),
            charge);
    return toBuilder()
        .servers(servers.put(id, charged))
        .admissions(admissions.put(nextAdmissionId, admitted))
        .nextAdmissionId(nextAdmissionId + 1)
        .build();
  }

  HostState withRequestEnded(HostEvent.RequestEnded ended) {
    HostState released = toBuilder().admissions(admissions.remove(ended.admissionId())).build();
    for (AdmittedRequest request : admissions.get(ended.admissionId())) {
      for (HostedServer server : servers.get(request.server())) {
        HostedServer next = withRunCharged(server.withSlotReleased(), request, ended.nowNanos());
        return released.withServer(withOutcome(next, request, ended));
      }
    }
    return released;
  }

  /** Returns a copy without a request that has not reported its end. */
  HostState withSlotExpired(long admissionId, long nowNanos) {
    return withRequestEnded(new HostEvent.RequestEnded(admissionId, Option.none(), 0, 0, nowNanos));
  }

  /** Charges the customer the time for which its request held a slot. */
  private HostedServer withRunCharged(HostedServer server, AdmittedRequest request, long nowNanos) {
    return request
        .charge()
        .map(
            charge ->
                server.withShares(
                    server
                        .shares()
                        .withRunEnded(
                            charge,
                            nowNanos - request.admittedNanos(),
                            isWaiting(request.server(), charge.priority()))))
        .getOrElse(server);
  }

  private boolean isWaiting(BackendServerId server, int priority) {
    return waiting.exists(
        request ->
            request.admit().server().equals(server)
                && request.admit().head().options().priority() == priority);
  }

  private HostedServer withOutcome(
      HostedServer server, AdmittedRequest request, HostEvent.RequestEnded ended) {
    Option<Boolean> outcome =
        RequestOutcomePolicy.classify(
            ended,
            lastOutgoingCallFailureNanos,
            server.runTimes().expectedNanos(request.kind()),
            request.kind().targetLatencyMillis());
    if (outcome.isEmpty()) {
      return server;
    }
    boolean success = outcome.get();
    HostedServer judged =
        server.withHealth(
            server.health().withOutcome(success, ended.sentNanos(), ended.nowNanos()));
    return success
        ? judged.withRunTimes(judged.runTimes().withRun(request.kind(), ended.serverMicros()))
        : judged;
  }

  private Builder toBuilder() {
    return new Builder(this);
  }

  /** Builds a copy with other values. */
  private static final class Builder {
    private Map<BackendServerId, HostedServer> servers;
    private Departures departed;
    private Map<Long, AdmittedRequest> admissions;
    private long nextAdmissionId;
    private Vector<WaitingRequest> waiting;
    private Snapshot snapshot;
    private long lastOutgoingCallFailureNanos;
    private Option<IntConsumer> stopListener;

    private Builder(HostState state) {
      servers = state.servers;
      departed = state.departed;
      admissions = state.admissions;
      nextAdmissionId = state.nextAdmissionId;
      waiting = state.waiting;
      snapshot = state.snapshot;
      lastOutgoingCallFailureNanos = state.lastOutgoingCallFailureNanos;
      stopListener = state.stopListener;
    }

    Builder servers(Map<BackendServerId, HostedServer> next) {
      servers = next;
      return this;
    }

    Builder departed(Departures next) {
      departed = next;
      return this;
    }

    Builder admissions(Map<Long, AdmittedRequest> next) {
      admissions = next;
      return this;
    }

    Builder nextAdmissionId(long next) {
      nextAdmissionId = next;
      return this;
    }

    Builder waiting(Vector<WaitingRequest> next) {
      waiting = next;
      return this;
    }

    Builder snapshot(Snapshot next) {
      snapshot = next;
      return this;
    }

    Builder lastOutgoingCallFailureNanos(long next) {
      lastOutgoingCallFailureNanos = next;
      return this;
    }

    Builder stopListener(Option<IntConsumer> next) {
      stopListener = next;
      return this;
    }

    HostState build() {
      return new HostState(
          servers,
          departed,
          admissions,
          nextAdmissionId,
          waiting,
          snapshot,
          lastOutgoingCallFailureNanos,
          stopListener);
    }
  }
}
