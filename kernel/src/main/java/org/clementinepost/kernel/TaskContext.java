package org.clementinepost.kernel;

import java.util.random.RandomGenerator;
import reactor.core.scheduler.Scheduler;

/**
 * The services and resources that a task gets when it starts.
 *
 * @param self the task's own address
 * @param registry looks up other services
 * @param clock the clock of the kernel
 * @param random the task's own source of randomness, seeded by the kernel
 * @param scheduler runs the callbacks of the task's sockets and timers
 * @param spawner starts tasks without a registered name
 */
public record TaskContext<M>(
    Address<M> self,
    Registry registry,
    MonotonicClock clock,
    RandomGenerator random,
    Scheduler scheduler,
    Spawner spawner) {

  /**
   * Has the timer send the task a message periodically.
   *
   * @param subscription the name by which the subscription is replaced or cancelled
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
   * @param subscription the name by which the subscription is replaced or cancelled
   */
  public void sendAfter(String subscription, long delayMillis, M message) {
    registry
        .find(TimerService.NAME)
        .send(new TimerService.Once(subscription, delayMillis, () -> self.send(message)));
  }
}
