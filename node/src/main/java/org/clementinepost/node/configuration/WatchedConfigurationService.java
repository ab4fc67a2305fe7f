package org.clementinepost.node.configuration;

import com.google.common.flogger.FluentLogger;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.FailureDomain;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.SuspendAwareClock;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.rows.StoreAvailability;
import org.clementinepost.storage.rows.OperatorChange;
import org.clementinepost.storage.rows.OperatorChangeFeed;
import org.clementinepost.storage.rows.OperatorChangePage;
import reactor.core.publisher.Mono;

/**
 * Follows the operators' orders in a store that tells of changes, and tells the other services.
 *
 * <p>A store that has been lost is asked without waiting, so that its return is noticed at once.
 * Each answer of the store confirms the configuration as of the moment at which it was given. A
 * configuration never goes back to an older version while the node runs.
 */
public final class WatchedConfigurationService implements Behaviour<ConfigurationMessage> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** A store that falls silent must be noticed, and asked anew, within some three seconds. */
  private static final long WAIT_MILLIS = 2_300;

  private static final long RETRY_MILLIS = 250;

  private final TaskContext<ConfigurationMessage> context;
  private final SuspendAwareClock clock;
  private final OperatorChangeFeed feed;
  private final StoreAvailability contact;
  private Option<Long> followed = Option.none();
  private Snapshot published = Snapshot.empty();
  private StoreClock storeClock = StoreClock.UNKNOWN;
  private Set<FailureDomainId> domainsOut = HashSet.empty();
  private Snapshot current = Snapshot.empty();
  private Vector<Reply<Snapshot>> listeners = Vector.empty();
  private Vector<Reply<Confirmation>> confirmed = Vector.empty();

  private WatchedConfigurationService(
      TaskContext<ConfigurationMessage> context, OperatorChangeFeed feed) {
    this.context = context;
    this.clock = new SuspendAwareClock(context.clock());
    this.feed = feed;
    this.contact =
        new StoreAvailability(
            ConfigurationService.NAME.text(),
            context.registry(),
            RETRY_MILLIS,
            () -> context.self().send(new ConfigurationMessage.Poll()));
    ask();
  }

  /** Defines the service over a feed. */
  public static ServiceDefinition<ConfigurationMessage> definition(OperatorChangeFeed feed) {
    return new ServiceDefinition<>(
        ConfigurationService.NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new WatchedConfigurationService(context, feed));
  }

  private void ask() {
    long askedNanos = clock.nowNanos();
    Mono<Either<Failure, OperatorChangePage>> answer =
        followed
            .map(version -> feed.changesSince(version, contact.isUnavailable() ? 0 : WAIT_MILLIS))
            .getOrElse(feed::read);
    answer.subscribe(page -> context.self().send(new ConfigurationMessage.Read(askedNanos, page)));
  }

  @Override
  public void receive(ConfigurationMessage message) {
    if (message instanceof ConfigurationMessage.Subscribe subscribe) {
      listeners = listeners.append(subscribe.listener());
      confirmed = confirmed.append(subscribe.confirmed());
      subscribe.listener().send(current);
      return;
    }
    if (message instanceof ConfigurationMessage.Poll) {
      ask();
      return;
    }
    if (message instanceof ConfigurationMessage.Read read) {
      read.page().fold(this::failed, page -> read(read.askedNanos(), page));
    }
  }

  private Void failed(Failure failure) {
    if (failure.code() == ResultCode.PLATFORM_HISTORY_LOST) {
      logger.atInfo().log("event=configuration-history-lost code=%d", failure.code().number());
      followed = Option.none();
      ask();
      return null;
    }
    contact.onFailure(failure);
    return null;
  }

  private Void read(long askedNanos, OperatorChangePage page) {
    contact.onSuccess();
    if (followed.exists(version -> page.version() < version)) {
      logger.atWarning().log(
          "event=store-answer-stale version=%d known=%d", page.version(), followed.get());
      ask();
      return null;
    }
    if (followed.isEmpty()) {
      domainsOut = HashSet.empty();
    }
    followed = Option.some(page.version());
    page.changes().forEach(this::apply);
    Snapshot next =
        domainsOut.foldLeft(
            published, (snapshot, domain) -> snapshot.with(new FailureDomain(domain, "", false)));
    if (!next.equals(current)) {
      current = next;
      logger.atInfo().log(
          "event=configuration version=%d domainsOut=%s",
          current.version(), domainsOut.mkString(","));
      listeners.forEach(listener -> listener.send(current));
    }
    Confirmation confirmation = confirmation(askedNanos, page.storeClockMillis());
    confirmed.forEach(listener -> listener.send(confirmation));
    ask();
    return null;
  }

  private Confirmation confirmation(long askedNanos, long storeMillis) {
    storeClock = storeClock.answered(askedNanos, storeMillis);
    return new Confirmation(storeClock.givenNanos(askedNanos, clock.nowNanos(), storeMillis));
  }

  private void apply(OperatorChange change) {
    if (change instanceof OperatorChange.ConfigurationPublished next) {
      publish(next.snapshot());
      return;
    }
    if (change instanceof OperatorChange.DomainTakenOut out) {
      domainsOut = domainsOut.add(out.domain());
      return;
    }
    if (change instanceof OperatorChange.DomainRestored back) {
      domainsOut = domainsOut.remove(back.domain());
      return;
    }
    OperatorChange.Unreadable unreadable = (OperatorChange.Unreadable) change;
    logger.atWarning().log(
        "event=configuration-unreadable key=%s code=%d detail=%s",
        unreadable.key(), unreadable.failure().code().number(), unreadable.failure().detail());
  }

  private void publish(Snapshot snapshot) {
    if (snapshot.version() < published.version()) {
      logger.atWarning().log(
          "event=configuration-stale code=%d version=%d known=%d",
          ResultCode.CONFIGURATION_STALE.number(), snapshot.version(), published.version());
      return;
    }
    published = snapshot;
  }
}
