package org.clementinepost.kernel;

import com.google.common.flogger.FluentLogger;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * Queues a task's messages and processes them one at a time on a scheduler, without locks and
 * without a dedicated thread.
 *
 * <p>{@code scheduled} tells whether a run is scheduled or in progress; the sender that sets it
 * schedules a run. A run processes at most {@link #MESSAGES_PER_RUN} messages and schedules another
 * run if messages remain, so that a busy task cannot keep a thread from other tasks.
 *
 * <p>Senders may be about to run out of stack or memory, and then any call can fail. Wherever a
 * send or a run breaks off, {@code scheduled} is reset by a plain assignment, which can't fail, and
 * the next send schedules a run that processes all messages of the queue.
 */
final class Mailbox<M> implements Address<M>, Disposable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MESSAGES_PER_RUN = 256;
  private static final VarHandle SCHEDULED = findScheduledField();

  private final String name;
  private final int capacity;
  private final Scheduler.Worker worker;
  private final Queue<M> queue = new ConcurrentLinkedQueue<>();
  private final AtomicLong sentMessages = new AtomicLong();
  private final AtomicLong processedMessages = new AtomicLong();
  private volatile Behaviour<M> behaviour;
  private volatile boolean scheduled;
  private volatile boolean stopped;

  Mailbox(String name, int capacity, Scheduler scheduler) {
    this.name = name;
    this.capacity = capacity;
    this.worker = scheduler.createWorker();
  }

  private static VarHandle findScheduledField() {
    try {
      return MethodHandles.lookup().findVarHandle(Mailbox.class, "scheduled", boolean.class);
    } catch (ReflectiveOperationException e) {
      throw new LinkageError("the mailbox has no field that tells whether it is scheduled", e);
    }
  }

  /** Starts the task, which first processes the messages that were sent before its start. */
  void start(Behaviour<M> initial) {
    behaviour = initial;
    scheduleRunIfNeeded();
  }

  @Override
  public Delivery send(M message) {
    if (stopped) {
      return Delivery.STOPPED;
    }
    if (sentMessages.get() - processedMessages.get() >= capacity) {
      return Delivery.FULL;
    }
    queue.add(message);
    if (stopped && queue.remove(message)) {
      return Delivery.STOPPED;
    }
    sentMessages.incrementAndGet();
    scheduleRunIfNeeded();
    return Delivery.ACCEPTED;
  }

  private void scheduleRunIfNeeded() {
    if (behaviour == null || queue.isEmpty() || scheduled) {
      return;
    }
    if (SCHEDULED.compareAndSet(this, false, true)) {
      scheduleRun();
    }
  }

  private void scheduleRun() {
    boolean accepted = false;
    try {
      schedule(this::run);
      accepted = true;
    } finally {
      if (!accepted) {
        scheduled = false;
      }
    }
  }

  /** Schedules a step; if the worker is already disposed, there is nothing left to process. */
  private void schedule(Runnable step) {
    try {
      worker.schedule(step);
    } catch (RejectedExecutionException e) {
      logger.atFine().log("event=task-gone task=%s", name);
    }
  }

  private void run() {
    try {
      processMessages();
    } finally {
      scheduled = false;
      scheduleRunIfNeeded();
    }
  }

  private void processMessages() {
    for (int processed = 0; processed < MESSAGES_PER_RUN; processed++) {
      M message = queue.poll();
      if (message == null) {
        return;
      }
      receive(message);
      processedMessages.incrementAndGet();
    }
  }

  /** Processes a message and logs any error. */
  private void receive(M message) {
    try {
      behaviour.receive(message);
    } catch (RuntimeException | Error e) {
      logError(message, e);
    }
  }

  private void logError(M message, Throwable error) {
    try {
      logger.atSevere().withCause(error).log("event=task-failed task=%s message=%s", name, message);
    } catch (RuntimeException | Error e) {
      logger.atSevere().log(
          "event=task-failed task=%s message=%s", name, message.getClass().getName());
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
