package org.clementinepost.node.access;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.SuspendAwareClock;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.configuration.ConfigurationMessage;
import org.clementinepost.node.configuration.ConfigurationService;
import org.clementinepost.node.configuration.Confirmation;
import org.clementinepost.policy.access.AccessPolicy;
import org.clementinepost.policy.access.OlderCopyPolicy;

/** Authorizes incoming requests against the active configuration. */
public final class AccessService implements Behaviour<AccessMessage> {
  /** The name under which the service is registered. */
  public static final ServiceName<AccessMessage> NAME =
      ServiceName.of("access", AccessMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Subtracted from the time allowed for withdrawing a key, for clock differences and slow nodes.
   */
  private static final long WITHDRAWAL_MARGIN_MILLIS = 400;

  private final SuspendAwareClock suspendAwareClock;
  private final long keyWithdrawalMillis;
  private Snapshot snapshot = Snapshot.empty();
  private Confirmation confirmation = Confirmation.never();
  private Option<Snapshot> olderCopy = Option.none();

  private AccessService(TaskContext<AccessMessage> context, long keyWithdrawalMillis) {
    this.suspendAwareClock = new SuspendAwareClock(context.clock());
    this.keyWithdrawalMillis = keyWithdrawalMillis;
    context
        .registry()
        .find(ConfigurationService.NAME)
        .send(
            new ConfigurationMessage.Subscribe(
                next -> context.self().send(new AccessMessage.Configured(next)),
                confirmed -> context.self().send(new AccessMessage.Confirmed(confirmed))));
  }

  /**
   * Returns the definition of the service.
   *
   * @param keyWithdrawalMillis the time within which a withdrawn key is rejected; zero sets no
   *     limit
   */
  public static ServiceDefinition<AccessMessage> definition(long keyWithdrawalMillis) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
        context -> new AccessService(context, keyWithdrawalMillis));
  }

  @Override
  public void receive(AccessMessage message) {
    if (message instanceof AccessMessage.Configured configured) {
      snapshot = configured.snapshot();
      return;
    }
    if (message instanceof AccessMessage.Confirmed confirmed) {
      confirmation = confirmation.orLater(confirmed.confirmation());
      olderCopy = confirmed.confirmation().olderCopy();
      return;
    }
    AccessMessage.Authorize authorize = (AccessMessage.Authorize) message;
    Either<Failure, RequestHead> authorized =
        AccessPolicy.authorize(snapshot, keysConfirmed(), authorize.request())
            .flatMap(head -> OlderCopyPolicy.confirm(olderCopy, authorize.request(), head));
    logger.atInfo().log(
        "event=access request=%s customer=%s service=%s result=%d version=%d",
        authorize.request().requestId(),
        authorized
            .map(head -> head.customer().map(Object::toString).getOrElse("open"))
            .getOrElse("-"),
        authorized.map(head -> head.service().value()).getOrElse("-"),
        authorized.fold(failure -> failure.code().number(), head -> 0),
        snapshot.version());
    authorize.reply().send(authorized);
  }

  private long confirmationAgeMillis() {
    return TimeUnit.NANOSECONDS.toMillis(suspendAwareClock.nowNanos() - confirmation.atNanos());
  }

  private boolean keysConfirmed() {
    return keyWithdrawalMillis == 0
        || confirmationAgeMillis() < keyWithdrawalMillis - WITHDRAWAL_MARGIN_MILLIS;
  }
}
