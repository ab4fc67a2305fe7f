package org.clementinepost.node.access;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.configuration.ConfigurationMessage;
import org.clementinepost.node.configuration.ConfigurationService;
import org.clementinepost.policy.access.AccessPolicy;

/** Holds the snapshot against which each arrived request is checked. */
public final class AccessService implements Behaviour<AccessMessage> {
  /** The name by which the service is found. */
  public static final ServiceName<AccessMessage> NAME =
      ServiceName.of("access", AccessMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private Snapshot snapshot = Snapshot.empty();

  private AccessService(TaskContext<AccessMessage> context) {
    context
        .registry()
        .find(ConfigurationService.NAME)
        .send(
            new ConfigurationMessage.Subscribe(
                next -> context.self().send(new AccessMessage.Configured(next))));
  }

  /** Defines the service. */
  public static ServiceDefinition<AccessMessage> definition() {
    return new ServiceDefinition<>(
        NAME, ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES, AccessService::new);
  }

  @Override
  public void receive(AccessMessage message) {
    if (message instanceof AccessMessage.Configured configured) {
      snapshot = configured.snapshot();
      return;
    }
    AccessMessage.Arrived arrived = (AccessMessage.Arrived) message;
    Either<Failure, RequestHead> decided = AccessPolicy.decide(snapshot, arrived.request());
    logger.atInfo().log(
        "event=access request=%s customer=%s service=%s result=%d version=%d",
        arrived.request().requestId(),
        decided.map(head -> head.customer().map(Object::toString).getOrElse("open")).getOrElse("-"),
        decided.map(head -> head.service().value()).getOrElse("-"),
        decided.fold(failure -> failure.code().number(), head -> 0),
        snapshot.version());
    arrived.reply().send(decided);
  }
}
