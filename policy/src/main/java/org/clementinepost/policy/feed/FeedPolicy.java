package org.clementinepost.policy.feed;

import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.StoreVersion;
import org.clementinepost.api.peer.FeedPage;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/**
 * Follows one table of the store for this node and for those that ask it.
 *
 * <p>In each failure domain a few nodes read the store and the others ask them, so that the calls
 * to the store depend on the number of failure domains and not on the number of nodes. What a copy
 * proves is dated by the store's own clock, which relaying, delaying or repeating cannot make
 * younger. A node without fresh news from a relay asks another one, and then the store itself.
 */
public final class FeedPolicy implements Decision<FeedState, FeedEvent, FeedEffect> {
  private static final long RELAY_WAIT_MILLIS = 700;

  /** The wait at a relay while the copy is stale; another relay may have news. */
  private static final long STALE_RELAY_WAIT_MILLIS = 100;

  /** The time for the answer of a relay beyond its wait. */
  private static final long RELAY_GRACE_MILLIS = 250;

  /** With older news, the store is asked not to wait, so that its answer brings newer news soon. */
  private static final long MAX_NEWS_AGE_FOR_LONG_POLL_MILLIS = 1_000;

  /** Longer than the store's client waits, in case the end of a call gets lost within the node. */
  private static final long STORE_GRACE_MILLIS = 10_000;

  private static final long AVOID_RELAY_MILLIS = 10_000;

  /** How long a reader that the store has failed prefers relays. */
  private static final long AVOID_STORE_MILLIS = 5_000;

  /** Spreads the fallback of many nodes, so that a store that returns is not met by all at once. */
  private static final long MAX_FALLBACK_DELAY_MILLIS = 300;

  /** The pause between two fallbacks to a store that fails. */
  private static final long FAILED_FALLBACK_PAUSE_MILLIS = 1_000;

  /** The most subscribers; one more gets no answer and uses another source. */
  private static final int MAX_SUBSCRIBERS = 1_024;

  private final FeedTiming timing;
  private final RelayRanking ranking;

  /** Creates the policy of a node for a table. */
  public FeedPolicy(String table, NodeId self, FeedTiming timing) {
    this.timing = timing;
    this.ranking = new RelayRanking(table, self);
  }

  @Override
  public Step<FeedState, FeedEffect> decide(FeedState state, FeedEvent event) {
    Step<FeedState, FeedEffect> handled = handle(state, event);
    return handled
        .then(next -> answerSubscribers(next, event.nowNanos()))
        .then(next -> fetchIfDue(next, event.randomFraction(), event.nowNanos()))
        .then(next -> scheduleTick(next, event.nowNanos()));
  }

  private Step<FeedState, FeedEffect> handle(FeedState state, FeedEvent event) {
    if (event instanceof FeedEvent.RelaysChanged changed) {
      return Step.to(state.toBuilder().relays(ranking.rank(changed.relays())).build());
    }
    if (event instanceof FeedEvent.Subscribed subscribed) {
      return onSubscribed(state, subscribed.subscriber());
    }
    if (event instanceof FeedEvent.Fetched fetched) {
      return onFetched(state, fetched);
    }
    return onTick(state, event.nowNanos());
  }

  private static Step<FeedState, FeedEffect> onSubscribed(
      FeedState state, FeedSubscriber subscriber) {
    if (state.subscribers().size() >= MAX_SUBSCRIBERS) {
      return Step.to(
          state,
          new FeedEffect.Answer(subscriber, Either.left(Failure.of(ResultCode.NODE_OVERLOADED))));
    }
    return Step.to(state.toBuilder().subscribers(state.subscribers().append(subscriber)).build());
  }

  private Step<FeedState, FeedEffect> onTick(FeedState state, long nowNanos) {
    FeedState next =
        state.toBuilder()
            .avoidedUntilNanos(
                state.avoidedUntilNanos().filterValues(untilNanos -> nowNanos < untilNanos))
            .build();
    Option<FeedState.Fetch> overdue =
        next.fetch().filter(fetch -> nowNanos >= fetch.deadlineNanos());
    if (overdue.isEmpty()) {
      return Step.to(next);
    }
    return onFailure(
        next.toBuilder().fetch(Option.none()).build(),
        overdue.get().source(),
        Failure.of(ResultCode.PLATFORM_UNAVAILABLE, "no answer"),
        nowNanos);
  }

  private static FeedState avoid(FeedState state, NodeId relay, long nowNanos) {
    return state.toBuilder()
        .fetch(Option.none())
        .avoidedUntilNanos(
            state.avoidedUntilNanos().put(relay, nowNanos + nanos(AVOID_RELAY_MILLIS)))
        .build();
  }

  private Step<FeedState, FeedEffect> onFetched(FeedState state, FeedEvent.Fetched fetched) {
    Option<FeedState.Fetch> fetch =
        state
            .fetch()
            .filter(current -> current.number() == fetched.number())
            .filter(current -> relayOf(current.source()).equals(fetched.relay()));
    if (fetch.isEmpty()) {
      return Step.to(state);
    }
    FeedSource source = fetch.get().source();
    FeedState ended = state.toBuilder().fetch(Option.none()).build();
    if (fetched.result().isLeft()) {
      return onFailure(ended, source, fetched.result().getLeft(), fetched.nowNanos());
    }
    return onPage(ended, source, fetched.result().get(), fetched);
  }

  private Step<FeedState, FeedEffect> onFailure(
      FeedState state, FeedSource source, Failure failure, long nowNanos) {
    if (source instanceof FeedSource.Relay relay) {
      return Step.to(avoid(state, relay.node(), nowNanos));
    }
    if (failure.code() == ResultCode.PLATFORM_HISTORY_LOST) {
      return Step.to(state.toBuilder().source(Option.none()).build());
    }
    boolean reader = ranking.isReader(state.relays(), state.avoidedUntilNanos());
    long pauseMillis = reader ? timing.retryMillis() : FAILED_FALLBACK_PAUSE_MILLIS;
    FeedState failing =
        forgetAvoidedRelays(state).toBuilder()
            .storeAvoidedUntilNanos(nowNanos + nanos(AVOID_STORE_MILLIS))
            .nextFetchNanos(nowNanos + nanos(pauseMillis))
            .failure(Option.some(failure))
            .subscribers(Vector.empty())
            .build();
    return Step.to(
        failing,
        state
            .subscribers()
            .map(subscriber -> new FeedEffect.Answer(subscriber, Either.left(failure))));
  }

  /** While the store fails too, relays get another chance. */
  private static FeedState forgetAvoidedRelays(FeedState state) {
    return state.toBuilder().avoidedUntilNanos(HashMap.empty()).build();
  }

  private Step<FeedState, FeedEffect> onPage(
      FeedState state, FeedSource source, FeedPage page, FeedEvent.Fetched fetched) {
    long nowNanos = fetched.nowNanos();
    if (source instanceof FeedSource.Relay relay && FeedEras.mustAskStore(state, page, nowNanos)) {
      return Step.to(
          FeedEras.readAllRows(
              avoid(state, relay.node(), nowNanos), fetched.randomFraction(), nowNanos));
    }
    TableCopy copy =
        state
            .copy()
            .map(known -> known.with(page, fetched.requestNanos()))
            .getOrElse(() -> TableCopy.of(page, fetched.requestNanos(), Option.none()));
    boolean newEra = FeedEras.isNewEra(state, copy);
    boolean news =
        newEra || state.copy().forAll(known -> copy.storeClockMillis() > known.storeClockMillis());
    boolean changed = state.copy().forAll(known -> copy.version().isAfter(known.version()));
    FeedState next =
        (newEra ? forgetAvoidedRelays(state) : state)
            .toBuilder()
                .copy(Option.some(copy))
                .lastNewsNanos(news ? nowNanos : state.lastNewsNanos())
                .failure(news ? Option.none() : state.failure())
                .source(Option.some(source))
                .storeEra(
                    source instanceof FeedSource.Store ? page.version().era() : state.storeEra())
                .build();
    Vector<FeedEffect> effects =
        Vector.<FeedEffect>of(new FeedEffect.SourceChanged(relayOf(source)))
            .filter(effect -> !state.source().contains(source))
            .appendAll(FeedEras.effects(state, copy));
    Step<FeedState, FeedEffect> step = Step.to(next, effects);
    if (source instanceof FeedSource.Relay relay) {
      boolean useless = !news && isStale(next, nowNanos);
      return useless ? Step.to(avoid(next, relay.node(), nowNanos), step.effects()) : step;
    }
    long batchMillis = changed && !page.rows().isEmpty() ? timing.batchMillis() : 0;
    return Step.to(
        next.toBuilder().nextFetchNanos(nowNanos + nanos(batchMillis)).build(), step.effects());
  }

  private static Option<NodeId> relayOf(FeedSource source) {
    return source instanceof FeedSource.Relay relay ? Option.some(relay.node()) : Option.none();
  }

  private boolean isStale(FeedState state, long nowNanos) {
    return nowNanos - state.lastNewsNanos() >= nanos(timing.staleAfterMillis());
  }

  /** Answers the subscribers for whom there is news, or whose wait is over. */
  private static Step<FeedState, FeedEffect> answerSubscribers(FeedState state, long nowNanos) {
    Vector<FeedSubscriber> waiting = Vector.empty();
    Vector<FeedEffect> answers = Vector.empty();
    for (FeedSubscriber subscriber : state.subscribers()) {
      Option<Either<Failure, ConfirmedPage>> answer = answer(state, subscriber, nowNanos);
      if (answer.isEmpty()) {
        waiting = waiting.append(subscriber);
        continue;
      }
      answers = answers.append(new FeedEffect.Answer(subscriber, answer.get()));
    }
    return answers.isEmpty()
        ? Step.to(state)
        : Step.to(state.toBuilder().subscribers(waiting).build(), answers);
  }

  private static Option<Either<Failure, ConfirmedPage>> answer(
      FeedState state, FeedSubscriber subscriber, long nowNanos) {
    boolean expired = nowNanos >= subscriber.deadlineNanos();
    boolean usable =
        state.failure().isEmpty()
            && state.copy().exists(copy -> !copy.version().isBefore(subscriber.knownVersion()));
    if (!usable) {
      Failure failure =
          state.failure().getOrElse(() -> Failure.of(ResultCode.PLATFORM_UNAVAILABLE));
      return Option.when(expired, () -> Either.left(failure));
    }
    TableCopy copy = state.copy().get();
    if (subscriber.knownVersion().equals(FeedSubscriber.NOTHING_KNOWN)) {
      return Option.some(page(copy, copy.completePage()));
    }
    FeedPage changes = copy.pageSince(subscriber.knownVersion());
    boolean news =
        !changes.rows().isEmpty()
            || copy.version().isOfLaterEraThan(subscriber.knownVersion())
            || copy.storeClockMillis() > subscriber.knownClockMillis();
    return Option.when(news || expired, () -> page(copy, changes));
  }

  private static Either<Failure, ConfirmedPage> page(TableCopy copy, FeedPage page) {
    return Either.right(new ConfirmedPage(page, copy.requestNanos()));
  }

  private Step<FeedState, FeedEffect> fetchIfDue(FeedState state, double random, long nowNanos) {
    if (state.fetch().isDefined() || nowNanos < state.nextFetchNanos()) {
      return Step.to(state);
    }
    FeedSource source = chooseSource(state, nowNanos);
    if (source instanceof FeedSource.Relay relay) {
      return askRelay(state, relay, nowNanos);
    }
    boolean fallback =
        state.copy().isDefined()
            && !ranking.isReader(state.relays(), state.avoidedUntilNanos())
            && state.source().exists(FeedSource.Relay.class::isInstance);
    if (fallback) {
      long delayNanos = Math.round(nanos(MAX_FALLBACK_DELAY_MILLIS) * random);
      return Step.to(
          state.toBuilder()
              .source(Option.some(new FeedSource.Store()))
              .nextFetchNanos(nowNanos + delayNanos)
              .build());
    }
    long deadlineNanos = nowNanos + nanos(timing.longPollMillis() + STORE_GRACE_MILLIS);
    return Step.to(withFetch(state, source, deadlineNanos), readStore(state, nowNanos));
  }

  private FeedSource chooseSource(FeedState state, long nowNanos) {
    boolean storeUsable = nowNanos >= state.storeAvoidedUntilNanos();
    boolean reader =
        FeedEras.needsStore(state) || ranking.isReader(state.relays(), state.avoidedUntilNanos());
    if (state.copy().isEmpty() || (reader && storeUsable)) {
      return new FeedSource.Store();
    }
    return ranking
        .relay(state.relays(), state.avoidedUntilNanos())
        .<FeedSource>map(FeedSource.Relay::new)
        .getOrElse(FeedSource.Store::new);
  }

  private static FeedState withFetch(FeedState state, FeedSource source, long deadlineNanos) {
    long number = state.lastFetchNumber() + 1;
    return state.toBuilder()
        .lastFetchNumber(number)
        .fetch(Option.some(new FeedState.Fetch(number, source, deadlineNanos)))
        .build();
  }

  private Step<FeedState, FeedEffect> askRelay(
      FeedState state, FeedSource.Relay relay, long nowNanos) {
    TableCopy copy = state.copy().get();
    long waitMillis = relayWaitMillis(state, nowNanos);
    FeedState next = withFetch(state, relay, nowNanos + nanos(waitMillis + RELAY_GRACE_MILLIS));
    return Step.to(
        next,
        new FeedEffect.AskRelay(
            next.lastFetchNumber(),
            relay.node(),
            copy.version(),
            copy.storeClockMillis(),
            waitMillis));
  }

  /** A relay waits for news until the copy is stale; then another relay is asked. */
  private long relayWaitMillis(FeedState state, long nowNanos) {
    if (state.failure().isDefined()) {
      return STALE_RELAY_WAIT_MILLIS;
    }
    long untilStaleMillis =
        timing.staleAfterMillis() - TimeUnit.NANOSECONDS.toMillis(nowNanos - state.lastNewsNanos());
    return Math.max(STALE_RELAY_WAIT_MILLIS, Math.min(RELAY_WAIT_MILLIS, untilStaleMillis));
  }

  private FeedEffect readStore(FeedState state, long nowNanos) {
    Option<StoreVersion> version =
        state.source().isEmpty() ? Option.none() : state.copy().map(TableCopy::version);
    boolean current =
        state.failure().isEmpty()
            && nowNanos - state.lastNewsNanos() < nanos(MAX_NEWS_AGE_FOR_LONG_POLL_MILLIS);
    long waitMillis = current ? timing.longPollMillis() : 0;
    return new FeedEffect.ReadStore(state.lastFetchNumber() + 1, version, waitMillis);
  }

  /** Schedules a tick for whatever is due next. */
  private static Step<FeedState, FeedEffect> scheduleTick(FeedState state, long nowNanos) {
    long dueNanos =
        state.fetch().map(FeedState.Fetch::deadlineNanos).getOrElse(state.nextFetchNanos());
    for (FeedSubscriber subscriber : state.subscribers()) {
      dueNanos = Math.min(dueNanos, subscriber.deadlineNanos());
    }
    long delayMillis = TimeUnit.NANOSECONDS.toMillis(Math.max(0, dueNanos - nowNanos)) + 1;
    return Step.to(state, new FeedEffect.ScheduleTick(delayMillis));
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
