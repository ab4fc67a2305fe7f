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

final class SocketLoopsTest {
  private static final Duration PATIENCE = Duration.ofSeconds(30);
  private static final int TASKS = 1_000;

  private final SocketLoops loops = SocketLoops.shared();

  @Test
  void aWorkerRunsItsTasksInOrderOnOneThread() {
    List<Integer> ran = new ArrayList<>();
    Set<Thread> threads = new HashSet<>();
    Scheduler.Worker worker = loops.createWorker();

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
        .block(PATIENCE);

    assertThat(ran).hasSize(TASKS).isSorted();
    assertThat(threads).hasSize(1);
  }

  @Test
  void aTaskRunsAfterItsDelay() {
    Boolean ran =
        Mono.<Boolean>create(
                sink -> loops.schedule(() -> sink.success(true), 1, TimeUnit.MILLISECONDS))
            .block(PATIENCE);

    assertThat(ran).isTrue();
  }
}
