package org.clementinepost.kernel;

import java.util.random.RandomGenerator;
import reactor.core.scheduler.Scheduler;

/**
 * What a task is given when it starts.
 *
 * @param self the task's own address
 * @param registry finds the other services
 * @param clock the monotonic clock
 * @param random the task's own source of randomness, seeded by the kernel
 * @param scheduler runs what a task's sockets and timers need
 * @param spawner starts tasks that no name is kept for
 */
public record TaskContext<M>(
    Address<M> self,
    Registry registry,
    MonotonicClock clock,
    RandomGenerator random,
    Scheduler scheduler,
    Spawner spawner) {

  /**
   * Has the timer send the task a message again and again.
   *
   * @param subscription the name under which this is replaced or cancelled
   */
  public void sendEvery(
      String subscription, long initialDelayMillis, long periodMillis, M message) {
    registry
        .find(TimerService.NAME)
        .send(
            new TimerService.Every(
                subscription, initialDelayMillis, periodMillis, () -> self.send(message)));
  }

  /**
   * Has the timer send the task a message once.
   *
   * @param subscription the name under which this is replaced or cancelled
   */
  public void sendAfter(String subscription, long delayMillis, M message) {
    registry
        .find(TimerService.NAME)
        .send(new TimerService.Once(subscription, delayMillis, () -> self.send(message)));
  }
}
