package org.clementinepost.kernel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.test.scheduler.VirtualTimeScheduler;

final class MailboxTest {
  private static final int SENDERS = 4;
  private static final int MESSAGES_EACH = 10_000;
  private static final int OVERFLOWS = 200;
  private static final int SENDER_STACK_BYTES = 256 << 10;

  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final List<String> received = new ArrayList<>();

  private Mailbox<String> startedMailbox(int capacity) {
    Mailbox<String> mailbox = new Mailbox<>("test", capacity, scheduler);
    mailbox.start(received::add);
    return mailbox;
  }

  @Test
  void processesMessagesInSendOrder() {
    Mailbox<String> mailbox = startedMailbox(10);
    mailbox.send("a");
    mailbox.send("b");
    scheduler.advanceTime();
    assertThat(received).containsExactly("a", "b");
  }

  @Test
  void returnsFullAndKeepsQueuedMessagesAtCapacity() {
    Mailbox<String> mailbox = new Mailbox<>("test", 1, scheduler);
    assertThat(mailbox.send("a")).isEqualTo(Delivery.ACCEPTED);
    assertThat(mailbox.send("b")).isEqualTo(Delivery.FULL);
    mailbox.start(received::add);
    scheduler.advanceTime();
    assertThat(received).containsExactly("a");
    assertThat(mailbox.send("c")).isEqualTo(Delivery.ACCEPTED);
  }

  @Test
  void processesMessagesSentBeforeStart() {
    Mailbox<String> mailbox = new Mailbox<>("test", 10, scheduler);
    mailbox.send("early");
    mailbox.start(received::add);
    scheduler.advanceTime();
    assertThat(received).containsExactly("early");
  }

  @Test
  void drainsQueuedMessagesOnStopAndRejectsNewOnes() {
    Mailbox<String> mailbox = startedMailbox(10);
    mailbox.send("a");
    mailbox.dispose();
    assertThat(mailbox.send("b")).isEqualTo(Delivery.STOPPED);
    scheduler.advanceTime();
    assertThat(received).containsExactly("a");
  }

  @Test
  void continuesAfterExceptionInBehaviour() {
    Mailbox<String> mailbox = new Mailbox<>("test", 10, scheduler);
    mailbox.start(
        message -> {
          if (message.equals("bad")) {
            throw new IllegalStateException("on purpose");
          }
          received.add(message);
        });
    mailbox.send("bad");
    mailbox.send("good");
    scheduler.advanceTime();
    assertThat(received).containsExactly("good");
  }

  @Test
  void continuesAfterStackOverflowInBehaviour() {
    Mailbox<String> mailbox = new Mailbox<>("test", 10, scheduler);
    mailbox.start(
        message -> {
          if (message.equals("deep")) {
            throw new StackOverflowError("on purpose");
          }
          received.add(message);
        });
    mailbox.send("deep");
    mailbox.send("good");
    scheduler.advanceTime();
    assertThat(received).containsExactly("good");
  }

  /** Guards against a task that is never run again because its message could not be logged. */
  @Test
  void continuesAfterErrorInLoggingOfError() {
    Mailbox<Object> mailbox = new Mailbox<>("test", 10, scheduler);
    mailbox.start(
        message -> {
          if (!message.equals("good")) {
            throw new IllegalStateException("on purpose");
          }
          received.add("good");
        });
    mailbox.send(new UnprintableMessage());
    mailbox.send("good");
    scheduler.advanceTime();
    mailbox.send("good");
    scheduler.advanceTime();
    assertThat(received).containsExactly("good", "good");
  }

  /** A message that can't be formatted. */
  private static final class UnprintableMessage {
    @Override
    public String toString() {
      throw new StackOverflowError("on purpose");
    }
  }

  /** Guards against a task that is never run again because a sender failed to schedule its run. */
  @Test
  void continuesAfterSenderFailedToScheduleRun() {
    FailingOnceScheduler failingOnce = new FailingOnceScheduler(scheduler);
    Mailbox<String> mailbox = new Mailbox<>("test", 10, failingOnce);
    mailbox.start(received::add);
    assertThatThrownBy(() -> mailbox.send("a")).isInstanceOf(StackOverflowError.class);
    assertThat(mailbox.send("b")).isEqualTo(Delivery.ACCEPTED);
    scheduler.advanceTime();
    assertThat(received).containsExactly("a", "b");
  }

  /** Fails to schedule the first task, as with a sender whose stack is exhausted. */
  private static final class FailingOnceScheduler implements Scheduler {
    private final Scheduler delegate;
    private boolean failed;

    private FailingOnceScheduler(Scheduler delegate) {
      this.delegate = delegate;
    }

    @Override
    public Disposable schedule(Runnable task) {
      return delegate.schedule(task);
    }

    @Override
    public Worker createWorker() {
      Worker worker = delegate.createWorker();
      return new Worker() {
        @Override
        public Disposable schedule(Runnable task) {
          if (!failed) {
            failed = true;
            throw new StackOverflowError("on purpose");
          }
          return worker.schedule(task);
        }

        @Override
        public void dispose() {
          worker.dispose();
        }
      };
    }
  }

  /**
   * Guards against a task that is never run again after its sender's stack overflowed in a send.
   */
  @Test
  void continuesAfterStackOverflowsAnywhereInSend() throws InterruptedException {
    Queue<Runnable> runs = new ConcurrentLinkedQueue<>();
    AtomicInteger lastReceived = new AtomicInteger();
    Mailbox<Integer> mailbox =
        new Mailbox<>("test", Integer.MAX_VALUE, Schedulers.fromExecutor(runs::add));
    mailbox.start(lastReceived::set);
    for (int depth = 1; depth <= OVERFLOWS; depth++) {
      overflowWhileSending(mailbox, depth);
      mailbox.send(-depth);
      for (Runnable run = runs.poll(); run != null; run = runs.poll()) {
        run.run();
      }
      assertThat(lastReceived).hasValue(-depth);
    }
  }

  private static void overflowWhileSending(Mailbox<Integer> mailbox, int depth)
      throws InterruptedException {
    Thread sender = new Thread(null, () -> descend(mailbox, depth), "sender", SENDER_STACK_BYTES);
    sender.setUncaughtExceptionHandler((unused, error) -> {});
    sender.start();
    sender.join();
  }

  /** Sends at each depth of the stack below the given one until the stack overflows. */
  @SuppressWarnings("InfiniteRecursion") // The overflow is the purpose.
  private static void descend(Mailbox<Integer> mailbox, int framesBeforeFirstSend) {
    if (framesBeforeFirstSend <= 0) {
      mailbox.send(framesBeforeFirstSend);
    }
    descend(mailbox, framesBeforeFirstSend - 1);
  }

  @Test
  void processesEveryMessageOfConcurrentSendersOneAtATime() throws InterruptedException {
    Scheduler threads = Schedulers.newParallel("mailbox-test", SENDERS);
    Mailbox<Integer> mailbox = new Mailbox<>("test", SENDERS * MESSAGES_EACH, threads);
    int[] total = new int[1];
    CountDownLatch done = new CountDownLatch(SENDERS * MESSAGES_EACH);
    mailbox.start(
        message -> {
          total[0] += message;
          done.countDown();
        });
    for (int sender = 0; sender < SENDERS; sender++) {
      threads.schedule(() -> sendAll(mailbox));
    }
    assertThat(done.await(30, TimeUnit.SECONDS)).isTrue();
    assertThat(total[0]).isEqualTo(SENDERS * MESSAGES_EACH);
    threads.dispose();
  }

  private static void sendAll(Mailbox<Integer> mailbox) {
    for (int i = 0; i < MESSAGES_EACH; i++) {
      mailbox.send(1);
    }
  }
}
