package org.clementinepost.kernel;

import com.google.common.flogger.FluentLogger;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * Queues a task's messages and processes them one at a time on a scheduler, without locks and
 * without a dedicated thread.
 *
 * <p>{@code pending} counts the messages that are queued or being processed. Senders add a message
 * to the queue before they increment the counter, so a run always finds at least as many messages
 * as are counted. The sender that increments the counter from zero schedules a run. A run processes
 * at most {@link #MESSAGES_PER_RUN} messages and schedules another run if messages remain, so that
 * a busy task cannot keep a thread from other tasks.
 */
final class Mailbox<M> implements Address<M>, Disposable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MESSAGES_PER_RUN = 256;

  private final String name;
  private final int capacity;
  private final Scheduler.Worker worker;
  private final Queue<M> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger pending = new AtomicInteger();
  private final AtomicLong processedMessages = new AtomicLong();
  private volatile Behaviour<M> behaviour;
  private volatile boolean stopped;

  Mailbox(String name, int capacity, Scheduler scheduler) {
    this.name = name;
    this.capacity = capacity;
    this.worker = scheduler.createWorker();
  }

  /** Starts the task, which first processes the messages that were sent before its start. */
  void start(Behaviour<M> initial) {
    behaviour = initial;
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

  /** Schedules a run; if the worker is already disposed, there is nothing left to process. */
  private void schedule(Runnable run) {
    try {
      worker.schedule(run);
    } catch (RejectedExecutionException e) {
      logger.atFine().log("event=task-gone task=%s", name);
    }
  }

  private void run() {
    for (int processed = 1; processed <= MESSAGES_PER_RUN; processed++) {
      M message = queue.poll();
      if (message == null) {
        return;
      }
      receive(message);
      processedMessages.incrementAndGet();
      if (pending.decrementAndGet() == 0) {
        return;
      }
    }
    schedule(this::run);
  }

  /**
   * Processes a message and logs any error.
   *
   * <p>If an error escaped, the counter would not be decremented and no sender would schedule
   * another run, so the task would process no more messages.
   */
  private void receive(M message) {
    try {
      behaviour.receive(message);
    } catch (RuntimeException | Error e) {
      logger.atSevere().withCause(e).log("event=task-failed task=%s message=%s", name, message);
    }
  }

  TaskProgress progress() {
    return new TaskProgress(name, processedMessages.get(), !queue.isEmpty());
  }

  @Override
  public boolean isDisposed() {
    return stopped;
  }

  /**
   * Stops the task on its own worker, the only one that may access the task's state.
   *
   * <p>Messages that are already queued are still processed, because each may carry a reply that
   * its sender waits for.
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
    Behaviour<M> current = behaviour;
    if (current != null) {
      for (M message = queue.poll(); message != null; message = queue.poll()) {
        receive(message);
      }
      current.stop();
    }
    worker.dispose();
  }
}
