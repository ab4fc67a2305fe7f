package org.clementinepost.benchmarks.measures;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Reply;

/** A backend server behind its host: slots, a short queue, and whatever is wrong with it. */
final class FakeServer {
  private static final int QUEUE_TO_SLOTS_RATIO = 4;

  private record Waiting(RequestHead head, long deadlineNanos, Reply<FakeAnswer> reply) {}

  private final VirtualLoop loop;
  private final Random random;
  private final int slots;
  private final Deque<Waiting> queue = new ArrayDeque<>();
  private Disturbance disturbance = Disturbance.NONE;
  private boolean inService = true;
  private int busy;
  private long pausedUntilNanos;

  FakeServer(VirtualLoop loop, Random random, int slots) {
    this.loop = loop;
    this.random = random;
    this.slots = slots;
    loop.after(ServiceTimes.pauseGapNanos(random), this::pause);
  }

  void disturb(Disturbance next) {
    disturbance = next;
  }

  void setInService(boolean next) {
    inService = next;
  }

  private void pause() {
    long nanos = ServiceTimes.pauseNanos(random);
    pausedUntilNanos = loop.nowNanos() + nanos;
    loop.after(nanos + ServiceTimes.pauseGapNanos(random), this::pause);
  }

  void serve(RequestHead head, Reply<FakeAnswer> reply) {
    if (!inService) {
      reply.send(FakeAnswer.failed(ResultCode.FAILURE_DOMAIN_OUT));
      return;
    }
    long deadlineNanos = loop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(head.timeoutMillis());
    Waiting request = new Waiting(head, deadlineNanos, reply);
    if (busy < slots) {
      run(request);
      return;
    }
    if (queue.size() >= QUEUE_TO_SLOTS_RATIO * slots) {
      reply.send(FakeAnswer.failed(ResultCode.HOST_QUEUE_FULL));
      return;
    }
    queue.add(request);
  }

  private void run(Waiting request) {
    busy++;
    long startNanos = loop.nowNanos();
    long pauseNanos = Math.max(0, pausedUntilNanos - startNanos);
    long doneNanos = startNanos + pauseNanos + ServiceTimes.nanos(random, disturbance);
    boolean hangs = random.nextDouble() < disturbance.hangingFraction();
    boolean fails = ServiceTimes.fails(random, disturbance);
    if (hangs || doneNanos > request.deadlineNanos()) {
      loop.after(
          request.deadlineNanos() - startNanos,
          () -> end(request, FakeAnswer.failed(ResultCode.BACKEND_TIMED_OUT)));
      return;
    }
    int status = fails ? FakeAnswer.ERROR_STATUS : FakeAnswer.OK_STATUS;
    long micros = TimeUnit.NANOSECONDS.toMicros(doneNanos - startNanos);
    loop.after(doneNanos - startNanos, () -> end(request, FakeAnswer.answered(status, micros)));
  }

  private void end(Waiting request, FakeAnswer answer) {
    busy--;
    request.reply().send(answer);
    while (busy < slots && !queue.isEmpty()) {
      next(queue.poll());
    }
  }

  private void next(Waiting request) {
    if (request.deadlineNanos() <= loop.nowNanos()) {
      request.reply().send(FakeAnswer.failed(ResultCode.HOST_QUEUE_TIMEOUT));
      return;
    }
    run(request);
  }
}
