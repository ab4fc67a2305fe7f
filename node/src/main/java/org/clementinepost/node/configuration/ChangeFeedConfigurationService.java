package org.clementinepost.node.configuration;

import com.google.common.flogger.FluentLogger;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.Function;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.StoreVersion;
import org.clementinepost.api.config.FailureDomain;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Registry;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.SuspendAwareClock;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.rows.StoreAvailability;
import org.clementinepost.policy.access.PublishedConfiguration;
import org.clementinepost.storage.rows.OperatorChange;
import org.clementinepost.storage.rows.OperatorChangeFeed;
import org.clementinepost.storage.rows.OperatorChangePage;
import org.clementinepost.storage.rows.PageOrigin;
import reactor.core.publisher.Mono;

/**
 * Follows the operators' changes through a change feed of the store and sends each new
 * configuration to the other services.
 *
 * <p>While the store is unavailable, polls do not wait for changes, so that its recovery is
 * detected at once. Each response confirms that the configuration was the newest when the store
 * sent the response. The configuration never goes back to an older version while the node runs.
 */
public final class ChangeFeedConfigurationService implements Behaviour<ConfigurationMessage> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Short, so that an unresponsive store is detected and polled again within about 3 s. */
  private static final long LONG_POLL_MILLIS = 2_300;

  private static final long RETRY_DELAY_MILLIS = 250;

  private final TaskContext<ConfigurationMessage> context;
  private final SuspendAwareClock clock;
  private final OperatorChangeFeed feed;
  private final StoreAvailability availability;
  private Option<StoreVersion> knownVersion = Option.none();
  private long storeEra;
  private PublishedConfiguration published = PublishedConfiguration.initial();
  private StoreClockOffset storeClockOffset = StoreClockOffset.UNKNOWN;
  private Set<FailureDomainId> domainsOut = HashSet.empty();
  private Snapshot current = Snapshot.empty();
  private Vector<Reply<Snapshot>> listeners = Vector.empty();
  private Vector<Reply<Confirmation>> confirmationListeners = Vector.empty();

  private ChangeFeedConfigurationService(
      TaskContext<ConfigurationMessage> context, OperatorChangeFeed feed) {
    this.context = context;
    this.clock = new SuspendAwareClock(context.clock());
    this.feed = feed;
    this.availability =
        new StoreAvailability(
            ConfigurationService.NAME.text(),
            context.registry(),
            RETRY_DELAY_MILLIS,
            () -> context.self().send(new ConfigurationMessage.Poll()));
    poll();
  }

  /** Returns the definition of the service. */
  public static ServiceDefinition<ConfigurationMessage> definition(OperatorChangeFeed feed) {
    return definition(registry -> feed);
  }

  /** Returns the definition of the service with a feed that uses other services of the node. */
  public static ServiceDefinition<ConfigurationMessage> definition(
      Function<Registry, OperatorChangeFeed> feed) {
    return new ServiceDefinition<>(
        ConfigurationService.NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new ChangeFeedConfigurationService(context, feed.apply(context.registry())));
  }

  private void poll() {
    long requestNanos = clock.nowNanos();
    Mono<Either<Failure, OperatorChangePage>> response =
        knownVersion
            .map(
                version ->
                    feed.changesSince(version, availability.isUnavailable() ? 0 : LONG_POLL_MILLIS))
            .getOrElse(feed::read);
    response.subscribe(
        page ->
            context.self().send(new ConfigurationMessage.OperatorChangesRead(requestNanos, page)));
  }

  @Override
  public void receive(ConfigurationMessage message) {
    if (message instanceof ConfigurationMessage.Subscribe subscribe) {
      listeners = listeners.append(subscribe.listener());
      confirmationListeners = confirmationListeners.append(subscribe.confirmationListener());
      subscribe.listener().send(current);
      return;
    }
    if (message instanceof ConfigurationMessage.Poll) {
      poll();
      return;
    }
    if (message instanceof ConfigurationMessage.OperatorChangesRead read) {
      read.page().fold(this::onReadFailure, page -> onChangesRead(read.requestNanos(), page));
    }
  }

  private Void onReadFailure(Failure failure) {
    if (failure.code() == ResultCode.PLATFORM_HISTORY_LOST) {
      logger.atInfo().log("event=configuration-history-lost code=%d", failure.code().number());
      knownVersion = Option.none();
      poll();
      return null;
    }
    availability.onFailure(failure);
    return null;
  }

  private Void onChangesRead(long requestNanos, OperatorChangePage page) {
    availability.onSuccess();
    if (knownVersion.exists(page.version()::isBefore)) {
      logger.atWarning().log(
          "event=store-answer-stale version=%s known=%s", page.version(), knownVersion.get());
      poll();
      return null;
    }
    boolean complete = knownVersion.isEmpty();
    if (complete) {
      domainsOut = HashSet.empty();
    }
    if (page.version().era() > storeEra) {
      // The store's clock may have another origin in each era.
      storeClockOffset = StoreClockOffset.UNKNOWN;
      storeEra = page.version().era();
    }
    knownVersion = Option.some(page.version());
    page.changes().forEach(this::applyChange);
    if (complete && !page.changes().exists(ChangeFeedConfigurationService::isConfiguration)) {
      published = published.after(Snapshot.empty(), storeEra);
    }
    Snapshot next =
        domainsOut.foldLeft(
            published.inForce(),
            (snapshot, domain) -> snapshot.with(new FailureDomain(domain, "", false)));
    if (!next.equals(current)) {
      current = next;
      logger.atInfo().log(
          "event=configuration version=%d domainsOut=%s",
          current.version(), domainsOut.mkString(","));
      listeners.forEach(listener -> listener.send(current));
    }
    Confirmation confirmation = toConfirmation(requestNanos, page);
    confirmationListeners.forEach(listener -> listener.send(confirmation));
    poll();
    return null;
  }

  /**
   * Returns the time at which the store confirmed the configuration. A relayed page says nothing
   * about the offset between the clocks, since the store may have sent it long before.
   */
  private Confirmation toConfirmation(long callNanos, OperatorChangePage page) {
    long storeMillis = page.storeClockMillis();
    if (page.origin() instanceof PageOrigin.Relayed) {
      return new Confirmation(
          storeClockOffset.earliestNanos(clock.nowNanos(), storeMillis), published.olderCopy());
    }
    long requestNanos =
        page.origin() instanceof PageOrigin.RequestedAt requested ? requested.nanos() : callNanos;
    storeClockOffset = storeClockOffset.withResponse(requestNanos, storeMillis);
    return new Confirmation(
        storeClockOffset.earliestResponseNanos(requestNanos, clock.nowNanos(), storeMillis),
        published.olderCopy());
  }

  private static boolean isConfiguration(OperatorChange change) {
    return change instanceof OperatorChange.ConfigurationPublished
        || change instanceof OperatorChange.Unreadable;
  }

  private void applyChange(OperatorChange change) {
    if (change instanceof OperatorChange.ConfigurationPublished published) {
      updatePublishedSnapshot(published.snapshot());
      return;
    }
    if (change instanceof OperatorChange.DomainTakenOut takenOut) {
      domainsOut = domainsOut.add(takenOut.domain());
      return;
    }
    if (change instanceof OperatorChange.DomainRestored returned) {
      domainsOut = domainsOut.remove(returned.domain());
      return;
    }
    OperatorChange.Unreadable unreadable = (OperatorChange.Unreadable) change;
    logger.atWarning().log(
        "event=configuration-unreadable key=%s code=%d detail=%s",
        unreadable.key(), unreadable.failure().code().number(), unreadable.failure().detail());
  }

  private void updatePublishedSnapshot(Snapshot snapshot) {
    if (!published.isReplacedBy(snapshot)) {
      logger.atWarning().log(
          "event=configuration-stale code=%d version=%d known=%d",
          ResultCode.CONFIGURATION_STALE.number(),
          snapshot.version(),
          published.inForce().version());
    }
    published = published.after(snapshot, storeEra);
  }
}
