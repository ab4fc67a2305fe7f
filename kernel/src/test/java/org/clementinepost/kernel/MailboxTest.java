package org.clementinepost.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.test.scheduler.VirtualTimeScheduler;

final class MailboxTest {
  private static final int SENDERS = 4;
  private static final int MESSAGES_EACH = 10_000;

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
