package org.clementinepost.kernel;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.concurrent.TimeUnit;
import reactor.core.Disposable;

/**
 * The timer service, which sends a subscriber a message periodically or once after a delay.
 *
 * <p>Each subscription has a name; a new subscription with the same name replaces the old one.
 */
public final class TimerService {
  /** The name of the timer service. */
  public static final ServiceName<TimerMessage> NAME = ServiceName.of("timer", TimerMessage.class);

  private TimerService() {}

  static ServiceDefinition<TimerMessage> definition() {
    return new ServiceDefinition<>(
        NAME, ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES, context -> new TimerBehaviour(context));
  }

  /** A message to the timer service. */
  public sealed interface TimerMessage {}

  /**
   * Subscribes to a periodic message.
   *
   * @param subscription the name of the subscription
   * @param initialDelayMillis the delay before the first message
   * @param periodMillis the time between messages
   * @param tick sends the message
   */
  public record Every(
      String subscription, long initialDelayMillis, long periodMillis, Runnable tick)
      implements TimerMessage {}

  /**
   * Subscribes to a single message.
   *
   * @param subscription the name of the subscription
   * @param delayMillis the delay before the message
   * @param tick sends the message
   */
  public record Once(String subscription, long delayMillis, Runnable tick)
      implements TimerMessage {}

  /** Ends a subscription. */
  public record Cancel(String subscription) implements TimerMessage {}

  private record Elapsed(Once once) implements TimerMessage {}

  private record Subscription(TimerMessage request, Disposable timer) {}

  private static final class TimerBehaviour implements Behaviour<TimerMessage> {
    private final TaskContext<TimerMessage> context;
    private Map<String, Subscription> active = HashMap.empty();

    private TimerBehaviour(TaskContext<TimerMessage> context) {
      this.context = context;
    }

    @Override
    public void receive(TimerMessage message) {
      if (message instanceof Every every) {
        replace(every.subscription(), new Subscription(every, schedule(every)));
        return;
      }
      if (message instanceof Once once) {
        replace(once.subscription(), new Subscription(once, schedule(once)));
        return;
      }
      if (message instanceof Elapsed elapsed) {
        onElapsed(elapsed.once());
        return;
      }
      if (message instanceof Cancel cancel) {
        cancel(cancel.subscription());
      }
    }

    private Disposable schedule(Every every) {
      return context
          .scheduler()
          .schedulePeriodically(
              every.tick(),
              every.initialDelayMillis(),
              every.periodMillis(),
              TimeUnit.MILLISECONDS);
    }

    private Disposable schedule(Once once) {
      return context
          .scheduler()
          .schedule(
              () -> context.self().send(new Elapsed(once)),
              once.delayMillis(),
              TimeUnit.MILLISECONDS);
    }

    private void replace(String name, Subscription next) {
      cancel(name);
      active = active.put(name, next);
    }

    private void cancel(String name) {
      active.get(name).forEach(subscription -> subscription.timer().dispose());
      active = active.remove(name);
    }

    private void onElapsed(Once once) {
      boolean current =
          active.get(once.subscription()).exists(subscription -> subscription.request() == once);
      if (!current) {
        return;
      }
      active = active.remove(once.subscription());
      once.tick().run();
    }

    @Override
    public void stop() {
      active.values().forEach(subscription -> subscription.timer().dispose());
    }
  }
}
