package org.clementinepost.policy.host;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.RequestHead;

/**
 * The order in which the waiting requests of one backend server will be admitted, by prediction.
 *
 * <p>Calls of backend servers come first, then the highest priority, then requests in time before
 * late ones, then customers by start-time fair queueing, then arrival. Late requests count for
 * nothing in the predicted wait of requests in time, so they never keep those out.
 *
 * @param requests the requests in the order of their admission, the hopeless ones last
 * @param drainNanos when a slot will be free for a request that comes after all of these; none
 *     while the run times of the server are unknown
 */
record QueuePlan(Vector<PlannedRequest> requests, Option<Long> drainNanos) {
  /**
   * A waiting request with its prediction.
   *
   * @param waitNanos the predicted wait from now
   */
  record PlannedRequest(WaitingRequest request, QueueGroup group, long waitNanos) {
    boolean isHopeless() {
      return group == QueueGroup.HOPELESS;
    }
  }

  /** A waiting request with its position by priority and by the share of its customer. */
  private record RankedRequest(WaitingRequest request, int rank, double startNanos, long runNanos) {
    /** Compares directly, since a chain of comparators takes several times as long. */
    private static int compare(RankedRequest a, RankedRequest b) {
      if (a.rank != b.rank) {
        return Integer.compare(a.rank, b.rank);
      }
      int byStart = Double.compare(a.startNanos, b.startNanos);
      return byStart != 0
          ? byStart
          : Long.compare(a.request.admit().nowNanos(), b.request.admit().nowNanos());
    }
  }

  /** The requests of one customer at one priority. */
  private record Flow(int priority, Option<CustomerId> customer) {
    FlowPosition first(HostState state, HostedServer server, double runNanos) {
      int weight = FairQueue.weightOf(state, customer);
      double startNanos = server.shares().startNanos(priority, customer);
      return new FlowPosition(startNanos, startNanos + runNanos / weight, weight);
    }
  }

  /** The virtual times at which the last ranked request of a flow starts and finishes. */
  private record FlowPosition(double startNanos, double finishNanos, int weight) {
    FlowPosition next(double runNanos) {
      return new FlowPosition(finishNanos, finishNanos + runNanos / weight, weight);
    }
  }

  /** Comes before every priority. */
  private static final int RANK_OF_CALLS = Integer.MIN_VALUE;

  static QueuePlan of(
      HostState state, HostedServer server, Iterable<WaitingRequest> waiting, long nowNanos) {
    List<RankedRequest> ranked = rank(state, server, waiting);
    ranked.sort(RankedRequest::compare);
    boolean known = !server.runTimes().meanNanos().isEmpty();
    Planner planner = new Planner(state, server, known, nowNanos);
    int from = 0;
    for (int to = 1; to <= ranked.size(); to++) {
      if (to == ranked.size() || ranked.get(to).rank() != ranked.get(from).rank()) {
        planner.planRank(ranked.subList(from, to));
        from = to;
      }
    }
    return planner.toPlan();
  }

  /**
   * Requests of one customer start one after the other, by their usual run time. They are given in
   * the order of the previous plan, so that a late request does not delay one in time.
   */
  private static List<RankedRequest> rank(
      HostState state, HostedServer server, Iterable<WaitingRequest> waiting) {
    List<RankedRequest> ranked = new ArrayList<>();
    Map<RequestKind, Option<Long>> expectedNanos = new HashMap<>();
    Map<Flow, FlowPosition> positions = new HashMap<>();
    for (WaitingRequest request : waiting) {
      RequestHead head = request.admit().head();
      Option<Long> expected =
          expectedNanos.computeIfAbsent(request.kind(), server.runTimes()::expectedNanos);
      long runNanos = expected.getOrElse(0L);
      if (request.isCallOfServer()) {
        ranked.add(new RankedRequest(request, RANK_OF_CALLS, 0, runNanos));
        continue;
      }
      double cost = (double) FairQueue.chargedNanos(expected);
      FlowPosition position =
          positions.compute(
              new Flow(head.options().priority(), head.customer()),
              (flow, last) -> last == null ? flow.first(state, server, cost) : last.next(cost));
      ranked.add(
          new RankedRequest(request, head.options().priority(), position.startNanos(), runNanos));
    }
    return ranked;
  }

  Option<PlannedRequest> find(WaitingRequest request) {
    return requests.find(planned -> planned.request() == request);
  }

  /** Assigns the ranked requests to slots, one rank after the other. */
  private static final class Planner {
    private final HostState state;
    private final HostedServer server;
    private final boolean known;
    private final boolean cold;
    private final long nowNanos;
    private final SlotSchedule slots;
    private final List<PlannedRequest> planned = new ArrayList<>();
    private final List<PlannedRequest> hopeless = new ArrayList<>();

    private Planner(HostState state, HostedServer server, boolean known, long nowNanos) {
      this.state = state;
      this.server = server;
      this.known = known;
      this.cold = server.isCold(nowNanos);
      this.nowNanos = nowNanos;
      this.slots = SlotSchedule.of(state, server, nowNanos);
    }

    private void planRank(List<RankedRequest> ranked) {
      List<RankedRequest> late = new ArrayList<>();
      for (RankedRequest request : ranked) {
        if (!planIfWithin(request, targetLeftNanos(request.request()), QueueGroup.IN_TIME)) {
          late.add(request);
        }
      }
      for (RankedRequest request : late) {
        if (!planIfWithin(request, deadlineLeftNanos(request.request()), QueueGroup.LATE)) {
          hopeless.add(new PlannedRequest(request.request(), QueueGroup.HOPELESS, nextWaitNanos()));
        }
      }
    }

    private boolean planIfWithin(RankedRequest ranked, long leftNanos, QueueGroup group) {
      long waitNanos = nextWaitNanos();
      if (waitNanos + ranked.runNanos() > leftNanos) {
        return false;
      }
      slots.occupy(waitNanos, ranked.runNanos());
      planned.add(new PlannedRequest(ranked.request(), group, waitNanos));
      return true;
    }

    /** While run times are unknown, no wait is predicted. */
    private long nextWaitNanos() {
      if (!known) {
        return 0;
      }
      long freeNanos = slots.nextFreeNanos();
      return cold
          ? Math.max(
              freeNanos, WaitPrediction.coldWaitNanos(state, server, planned.size(), nowNanos))
          : freeNanos;
    }

    private long targetLeftNanos(WaitingRequest request) {
      long targetMillis = request.admit().head().options().targetLatencyMillis();
      long deadlineLeftNanos = deadlineLeftNanos(request);
      if (!known || targetMillis <= 0) {
        return deadlineLeftNanos;
      }
      long targetNanos = TimeUnit.MILLISECONDS.toNanos(targetMillis);
      return Math.min(deadlineLeftNanos, targetNanos - (nowNanos - request.admit().nowNanos()));
    }

    /** While run times are unknown, the request waits no longer than its wait deadline. */
    private long deadlineLeftNanos(WaitingRequest request) {
      return known
          ? QueuePolicy.maxServiceNanos(request.admit()) - (nowNanos - request.admit().nowNanos())
          : request.waitDeadlineNanos() - nowNanos - 1;
    }

    private QueuePlan toPlan() {
      Option<Long> drainNanos = Option.when(known, this::nextWaitNanos);
      planned.addAll(hopeless);
      return new QueuePlan(Vector.ofAll(planned), drainNanos);
    }
  }
}
