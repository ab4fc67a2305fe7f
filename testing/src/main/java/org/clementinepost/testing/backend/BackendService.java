package org.clementinepost.testing.backend;

import org.clementinepost.api.NetworkAddress;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.kernel.TimerService;

/** The task that owns the state of the stand-in and its connection to the node. */
final class BackendService {
  static final ServiceName<BackendMessage> NAME =
      ServiceName.of("backend-server", BackendMessage.class);

  private static final String ANNOUNCE_TIMER = "announce";

  private BackendService() {}

  static ServiceDefinition<BackendMessage> definition(
      BackendSettings settings, NetworkAddress address) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
        context -> start(settings, address, context));
  }

  private static Behaviour<BackendMessage> start(
      BackendSettings settings, NetworkAddress address, TaskContext<BackendMessage> context) {
    Announcer announcer = new Announcer(settings, address);
    settings.announceUrl().forEach(url -> startAnnouncementTimer(settings, context));
    MonotonicClock clock = context.clock();
    Behaviour<BackendMessage> behaviour =
        Behaviour.ofDecision(
            BackendState.initial(clock.nowMillis(), settings.coldStartMillis()),
            message ->
                new BackendDecision.Event(
                    message, clock.nowMillis(), context.random().nextDouble()),
            new BackendDecision(settings),
            effect -> execute(announcer, effect));
    return new AnnouncingBehaviour(behaviour, announcer);
  }

  private static void startAnnouncementTimer(
      BackendSettings settings, TaskContext<BackendMessage> context) {
    Runnable tick = () -> context.self().send(new BackendMessage.AnnouncementDue());
    context
        .registry()
        .find(TimerService.NAME)
        .send(new TimerService.Every(ANNOUNCE_TIMER, 0, settings.announcePeriodMillis(), tick));
  }

  private static void execute(Announcer announcer, BackendEffect effect) {
    if (effect instanceof BackendEffect.SendReply<?> reply) {
      reply.send();
    }
    if (effect instanceof BackendEffect.Announce announce) {
      announcer.announce(announce);
    }
  }

  private record AnnouncingBehaviour(Behaviour<BackendMessage> delegate, Announcer announcer)
      implements Behaviour<BackendMessage> {
    @Override
    public void receive(BackendMessage message) {
      delegate.receive(message);
    }

    @Override
    public void stop() {
      announcer.dispose();
    }
  }
}
