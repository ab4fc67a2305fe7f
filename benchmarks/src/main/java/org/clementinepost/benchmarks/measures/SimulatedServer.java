package org.clementinepost.benchmarks.measures;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Reply;

/**
 * A backend server with its slots, the bounded request queue of its host, and an injected fault.
 */
final class SimulatedServer {
  private static final int MAX_QUEUED_PER_SLOT = 4;

  private record PendingRequest(RequestHead head, long deadlineNanos, Reply<AttemptResult> reply) {}

  private final SimulationScheduler scheduler;
  private final Random random;
  private final int slots;
  private final Deque<PendingRequest> queue = new ArrayDeque<>();
  private ServerFault fault = ServerFault.NONE;
  private boolean inService = true;
  private int busySlots;
  private long pausedUntilNanos;

  SimulatedServer(SimulationScheduler scheduler, Random random, int slots) {
    this.scheduler = scheduler;
    this.random = random;
    this.slots = slots;
    scheduler.schedule(ServiceTimes.samplePauseIntervalNanos(random), this::pause);
  }

  void setFault(ServerFault newFault) {
    fault = newFault;
  }

  void setInService(boolean newInService) {
    inService = newInService;
  }

  private void pause() {
    long pauseNanos = ServiceTimes.samplePauseNanos(random);
    pausedUntilNanos = scheduler.nowNanos() + pauseNanos;
    scheduler.schedule(pauseNanos + ServiceTimes.samplePauseIntervalNanos(random), this::pause);
  }

  void serve(RequestHead head, Reply<AttemptResult> reply) {
    if (!inService) {
      reply.send(AttemptResult.ofFailure(ResultCode.FAILURE_DOMAIN_OUT));
      return;
    }
    long deadlineNanos = scheduler.nowNanos() + TimeUnit.MILLISECONDS.toNanos(head.timeoutMillis());
    PendingRequest request = new PendingRequest(head, deadlineNanos, reply);
    if (busySlots < slots) {
      startProcessing(request);
      return;
    }
    if (queue.size() >= MAX_QUEUED_PER_SLOT * slots) {
      reply.send(AttemptResult.ofFailure(ResultCode.HOST_QUEUE_FULL));
      return;
    }
    queue.add(request);
  }

  private void startProcessing(PendingRequest request) {
    busySlots++;
    long startNanos = scheduler.nowNanos();
    long pauseNanos = Math.max(0, pausedUntilNanos - startNanos);
    long doneNanos = startNanos + pauseNanos + ServiceTimes.sampleNanos(random, fault);
    boolean hangs = random.nextDouble() < fault.hangingFraction();
    boolean fails = ServiceTimes.sampleFailure(random, fault);
    if (hangs || doneNanos > request.deadlineNanos()) {
      scheduler.schedule(
          request.deadlineNanos() - startNanos,
          () -> complete(request, AttemptResult.ofTimeout(scheduler.nowNanos() - startNanos)));
      return;
    }
    int status = fails ? AttemptResult.ERROR_STATUS : AttemptResult.OK_STATUS;
    long serverMicros = TimeUnit.NANOSECONDS.toMicros(doneNanos - startNanos);
    scheduler.schedule(
        doneNanos - startNanos,
        () -> complete(request, AttemptResult.ofResponse(status, serverMicros)));
  }

  private void complete(PendingRequest request, AttemptResult result) {
    busySlots--;
    request.reply().send(result);
    while (busySlots < slots && !queue.isEmpty()) {
      startQueued(queue.poll());
    }
  }

  private void startQueued(PendingRequest request) {
    if (request.deadlineNanos() <= scheduler.nowNanos()) {
      request.reply().send(AttemptResult.ofFailure(ResultCode.HOST_QUEUE_TIMEOUT));
      return;
    }
    startProcessing(request);
  }
}
