package org.clementinepost.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

final class EventLoopSchedulerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int TASKS = 1_000;

  private final EventLoopScheduler eventLoops = EventLoopScheduler.shared();

  @Test
  void workerRunsTasksInOrderOnOneThread() {
    List<Integer> ran = new ArrayList<>();
    Set<Thread> threads = new HashSet<>();
    Scheduler.Worker worker = eventLoops.createWorker();

    Mono.<Boolean>create(
            sink -> {
              for (int i = 0; i < TASKS; i++) {
                int number = i;
                worker.schedule(
                    () -> {
                      ran.add(number);
                      threads.add(Thread.currentThread());
                    });
              }
              worker.schedule(() -> sink.success(true));
            })
        .block(TIMEOUT);

    assertThat(ran).hasSize(TASKS).isSorted();
    assertThat(threads).hasSize(1);
  }

  @Test
  void runsTaskAfterDelay() {
    Boolean ran =
        Mono.<Boolean>create(
                sink -> eventLoops.schedule(() -> sink.success(true), 1, TimeUnit.MILLISECONDS))
            .block(TIMEOUT);

    assertThat(ran).isTrue();
  }
}
