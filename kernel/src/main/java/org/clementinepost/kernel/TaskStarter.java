package org.clementinepost.kernel;

import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.scheduler.Scheduler;

/**
 * Starts tasks and gives each a context with its own source of random numbers.
 *
 * <p>Seeds come from a counter and not from a shared random generator, because tasks may be spawned
 * from several threads.
 */
final class TaskStarter implements Spawner {
  private final Registry registry;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final AtomicLong nextSeed;

  TaskStarter(Registry registry, Scheduler scheduler, MonotonicClock clock, long seed) {
    this.registry = registry;
    this.scheduler = scheduler;
    this.clock = clock;
    this.nextSeed = new AtomicLong(seed);
  }

  <M> void start(Mailbox<M> mailbox, ServiceDefinition<M> definition) {
    SplittableRandom random = new SplittableRandom(nextSeed.getAndIncrement());
    mailbox.start(
        definition
            .factory()
            .apply(new TaskContext<>(mailbox, registry, clock, random, scheduler, this)));
  }

  @Override
  public <M> SpawnedTask<M> spawn(ServiceDefinition<M> definition) {
    Mailbox<M> mailbox =
        new Mailbox<>(definition.name().text(), definition.mailboxCapacity(), scheduler);
    start(mailbox, definition);
    return new SpawnedTask<>(mailbox, mailbox);
  }
}
