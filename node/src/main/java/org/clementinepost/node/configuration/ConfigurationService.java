package org.clementinepost.node.configuration;

import com.google.common.flogger.FluentLogger;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.function.Function;
import org.clementinepost.api.Failure;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.storage.PlatformService;
import org.clementinepost.storage.config.ConfigurationStore;

/** Polls the platform for new configuration and sends each snapshot to the other services. */
public final class ConfigurationService implements Behaviour<ConfigurationMessage> {
  /** The name under which the service is registered. */
  public static final ServiceName<ConfigurationMessage> NAME =
      ServiceName.of("configuration", ConfigurationMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long POLL_MILLIS = 1_000;

  private final TaskContext<ConfigurationMessage> context;
  private final ConfigurationStore store;
  private Snapshot current = Snapshot.empty();
  private Vector<Reply<Snapshot>> listeners = Vector.empty();

  private ConfigurationService(
      TaskContext<ConfigurationMessage> context, ConfigurationStore store) {
    this.context = context;
    this.store = store;
    context.sendEvery(NAME.text(), 0, POLL_MILLIS, new ConfigurationMessage.Poll());
  }

  /**
   * Subscribes a task to the active configuration: it receives the current snapshot at once and
   * then each new one.
   *
   * @param message wraps a snapshot in a message to the task
   */
  public static <M> void subscribe(TaskContext<M> context, Function<Snapshot, M> message) {
    context
        .registry()
        .find(NAME)
        .send(
            new ConfigurationMessage.Subscribe(
                snapshot -> context.self().send(message.apply(snapshot))));
  }

  /** Returns the definition of the service. */
  public static ServiceDefinition<ConfigurationMessage> definition() {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context ->
            new ConfigurationService(
                context, new ConfigurationStore(PlatformService.platformOf(context.registry()))));
  }

  @Override
  public void receive(ConfigurationMessage message) {
    if (message instanceof ConfigurationMessage.Subscribe subscribe) {
      listeners = listeners.append(subscribe.listener());
      subscribe.listener().send(current);
      return;
    }
    if (message instanceof ConfigurationMessage.Poll) {
      store
          .loadNewerThan(current)
          .subscribe(
              loaded -> context.self().send(new ConfigurationMessage.SnapshotLoaded(loaded)));
      return;
    }
    onSnapshotLoaded(((ConfigurationMessage.SnapshotLoaded) message).result());
  }

  private void onSnapshotLoaded(Either<Failure, Snapshot> loaded) {
    if (loaded.isLeft()) {
      logger.atWarning().log("event=configuration-poll result=%s", loaded.getLeft());
      return;
    }
    if (loaded.get().version() <= current.version()) {
      return;
    }
    current = loaded.get();
    logger.atInfo().log("event=configuration version=%d", current.version());
    listeners.forEach(listener -> listener.send(current));
  }
}
