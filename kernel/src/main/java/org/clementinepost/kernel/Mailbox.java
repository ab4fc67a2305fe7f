package org.clementinepost.kernel;

import com.google.common.flogger.FluentLogger;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * Runs one task's messages one at a time on a scheduler, without locks and without a thread of its
 * own.
 *
 * <p>The counter holds the messages that wait or run. Senders add to the queue before they raise
 * the counter, so a run always finds as many messages as it counts. The sender that raises it from
 * zero schedules a run; a run that has taken its part of messages and leaves some schedules the
 * next one, so that a busy task cannot keep a thread from the others.
 */
final class Mailbox<M> implements Address<M>, Disposable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MESSAGES_PER_RUN = 256;

  private final String name;
  private final int capacity;
  private final Scheduler.Worker worker;
  private final Queue<M> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger pending = new AtomicInteger();
  private volatile Behaviour<M> behaviour;
  private volatile boolean stopped;

  Mailbox(String name, int capacity, Scheduler scheduler) {
    this.name = name;
    this.capacity = capacity;
    this.worker = scheduler.createWorker();
  }

  /** Starts the task; messages sent before wait in the mailbox. */
  void start(Behaviour<M> started) {
    behaviour = started;
    if (pending.get() > 0) {
      schedule(this::run);
    }
  }

  @Override
  public Delivery send(M message) {
    if (stopped) {
      return Delivery.STOPPED;
    }
    if (pending.get() >= capacity) {
      return Delivery.FULL;
    }
    queue.add(message);
    if (stopped && queue.remove(message)) {
      return Delivery.STOPPED;
    }
    if (pending.getAndIncrement() == 0 && behaviour != null) {
      schedule(this::run);
    }
    return Delivery.ACCEPTED;
  }

  /** A worker that is gone has nothing left to run. */
  private void schedule(Runnable run) {
    try {
      worker.schedule(run);
    } catch (RejectedExecutionException e) {
      logger.atFine().log("event=task-gone task=%s", name);
    }
  }

  private void run() {
    for (int taken = 1; taken <= MESSAGES_PER_RUN; taken++) {
      M message = queue.poll();
      if (message == null) {
        return;
      }
      receive(message);
      if (pending.decrementAndGet() == 0) {
        return;
      }
    }
    schedule(this::run);
  }

  /** An error that left here would leave the counter up, and nothing would schedule a run again. */
  private void receive(M message) {
    try {
      behaviour.receive(message);
    } catch (RuntimeException | Error e) {
      logger.atSevere().withCause(e).log("event=task-failed task=%s message=%s", name, message);
    }
  }

  @Override
  public boolean isDisposed() {
    return stopped;
  }

  /**
   * Stops the task on its own worker, so that it lets go of its state where it owns it.
   *
   * <p>Messages that stand in the mailbox are still taken: each may carry a reply that somebody
   * waits for.
   */
  @Override
  public void dispose() {
    if (stopped) {
      return;
    }
    stopped = true;
    schedule(this::drainAndStop);
  }

  private void drainAndStop() {
    Behaviour<M> last = behaviour;
    if (last != null) {
      for (M message = queue.poll(); message != null; message = queue.poll()) {
        receive(message);
      }
      last.stop();
    }
    worker.dispose();
  }
}
