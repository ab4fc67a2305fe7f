package org.clementinepost.policy.quota;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.peer.QuotaMessage;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/**
 * Decides whether a request gets a token, and when to ask the home for more.
 *
 * <p>Tokens are spent only under a lease that counts from the sending of the ask, checked at each
 * request. Only the answer to the latest ask is taken; any other loses its tokens. A customer with
 * steady demand has tokens fetched before they run out.
 */
public final class HolderPolicy implements Decision<HolderState, HolderEvent, HolderEffect> {
  /** Demand for this long ahead is fetched at once. */
  private static final double AHEAD_SECONDS = 0.2;

  /** With less demand a token fetched ahead would mostly lapse. */
  private static final double MIN_AHEAD_DEMAND_PER_SECOND = 1.5;

  private static final int MAX_AHEAD_TOKENS = 1_000_000;
  private static final int MAX_WAITING_REQUESTS = 256;
  private static final long ANSWER_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long PERMIT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final double FORGOTTEN_DEMAND_PER_SECOND = 0.01;
  private static final long RETURN_BEFORE_LAPSE_NANOS = GrantLease.LEASE_NANOS / 4;

  private final long incarnation;

  /** Creates the decision of a node in one of its lives. */
  public HolderPolicy(long incarnation) {
    this.incarnation = incarnation;
  }

  @Override
  public Step<HolderState, HolderEffect> decide(HolderState state, HolderEvent event) {
    if (event instanceof HolderEvent.Take take) {
      return take(state, take);
    }
    if (event instanceof HolderEvent.Granted granted) {
      return granted(state, granted);
    }
    if (event instanceof HolderEvent.NotHome notHome) {
      return notHome(state, notHome);
    }
    if (event instanceof HolderEvent.Flush) {
      return flush(state);
    }
    if (event instanceof HolderEvent.Members members) {
      return Step.to(state.withMembers(members.members()));
    }
    if (event instanceof HolderEvent.Stopping stopping) {
      return stopping(state, stopping.nowNanos());
    }
    return tick(state, ((HolderEvent.Tick) event).nowNanos());
  }

  private static Step<HolderState, HolderEffect> take(HolderState state, HolderEvent.Take take) {
    long nowNanos = take.nowNanos();
    Holding holding =
        state
            .holdings()
            .get(take.customer())
            .getOrElse(() -> Holding.empty(take.customer(), nowNanos))
            .withRequest(nowNanos);
    Holding.Waiting request = new Holding.Waiting(nowNanos, take.reply());
    Holding queued = holding.withWaiting(holding.waiting().append(request));
    return asking(served(state, queued, nowNanos), take.customer(), nowNanos);
  }

  /** Gives tokens to waiting requests, and refuses those for which there is no hope. */
  private static Step<HolderState, HolderEffect> served(
      HolderState state, Holding holding, long nowNanos) {
    int count = Math.min(holding.validTokens(nowNanos), holding.waiting().size());
    Vector<HolderEffect> effects =
        holding
            .waiting()
            .take(count)
            .map(request -> taken(holding, request, permit(holding, nowNanos)));
    Holding after = holding.spending(count).withWaiting(holding.waiting().drop(count));
    if (nowNanos < after.holdOffNanos()) {
      Failure refusal = exceeded(after.holdOffNanos() - nowNanos);
      return refused(state, after, after.waiting(), refusal, effects);
    }
    Vector<Holding.Waiting> tooMany = after.waiting().drop(MAX_WAITING_REQUESTS);
    Failure refusal = Failure.of(ResultCode.QUOTA_UNAVAILABLE, "too many requests wait");
    return refused(state, after, tooMany, refusal, effects);
  }

  private static Step<HolderState, HolderEffect> refused(
      HolderState state,
      Holding holding,
      Vector<Holding.Waiting> requests,
      Failure failure,
      Vector<HolderEffect> before) {
    Vector<HolderEffect> effects =
        before.appendAll(requests.map(request -> taken(holding, request, Either.left(failure))));
    return Step.to(state.with(holding.withWaiting(holding.waiting().removeAll(requests))), effects);
  }

  private static HolderEffect taken(
      Holding holding, Holding.Waiting request, Either<Failure, Permit> result) {
    return new HolderEffect.Taken(holding.customer(), result, request.reply());
  }

  private static Either<Failure, Permit> permit(Holding holding, long nowNanos) {
    return Either.right(
        new Permit(Math.min(holding.leaseEndNanos(), nowNanos + PERMIT_LIFETIME_NANOS)));
  }

  private static Failure exceeded(long waitNanos) {
    long waitMillis = TimeUnit.NANOSECONDS.toMillis(waitNanos) + 1;
    return Failure.of(ResultCode.QUOTA_EXCEEDED, "retryAfterMillis=" + waitMillis);
  }

  /** Adds an ask when the tokens run low, none waits for its answer, and asking is of use. */
  private static Step<HolderState, HolderEffect> asking(
      Step<HolderState, HolderEffect> step, CustomerId customer, long nowNanos) {
    HolderState state = step.state();
    Holding holding = state.holdings().get(customer).get();
    int ahead = aheadTokens(holding, nowNanos);
    int held = holding.validTokens(nowNanos);
    boolean low = !holding.waiting().isEmpty() || held < (ahead + 1) / 2;
    if (!low || holding.pending().isDefined() || nowNanos < holding.holdOffNanos()) {
      return step;
    }
    int wanted = Math.max(0, ahead - held) + holding.waiting().size();
    return ask(step, holding, held, 0, wanted, nowNanos);
  }

  private static int aheadTokens(Holding holding, long nowNanos) {
    double demandPerSecond = holding.demandPerSecond(nowNanos);
    if (demandPerSecond < MIN_AHEAD_DEMAND_PER_SECOND) {
      return 0;
    }
    return (int) Math.min(MAX_AHEAD_TOKENS, Math.ceil(demandPerSecond * AHEAD_SECONDS));
  }

  private static Step<HolderState, HolderEffect> ask(
      Step<HolderState, HolderEffect> step,
      Holding holding,
      int held,
      int returned,
      int wanted,
      long nowNanos) {
    HolderState state = step.state();
    Option<NodeId> home = state.homeOf(holding.customer());
    if (home.isEmpty()) {
      return step;
    }
    long sequence = state.nextSequence();
    QuotaMessage.Ask ask =
        new QuotaMessage.Ask(
            sequence, holding.customer(), held, returned, holding.waiting().size(), wanted);
    Holding.Pending pending = new Holding.Pending(sequence, home.get(), nowNanos);
    HolderState next =
        state
            .with(
                holding
                    .withTokens(holding.epoch(), held, holding.leaseEndNanos())
                    .withPending(Option.some(pending)))
            .withAsk(home.get(), ask);
    return Step.to(next, step.effects().append(new HolderEffect.FlushSoon()));
  }

  private Step<HolderState, HolderEffect> flush(HolderState state) {
    Vector<HolderEffect> effects =
        state
            .outbox()
            .map(entry -> new HolderEffect.Send(entry._1, asks(entry._2)))
            .toVector()
            .map(effect -> effect);
    return Step.to(state.withEmptyOutbox(), effects);
  }

  private QuotaMessage.Asks asks(Vector<QuotaMessage.Ask> gathered) {
    return new QuotaMessage.Asks(incarnation, gathered);
  }

  private Step<HolderState, HolderEffect> granted(HolderState state, HolderEvent.Granted granted) {
    Step<HolderState, HolderEffect> step = Step.to(state);
    if (granted.grants().incarnation() != incarnation) {
      return step;
    }
    for (QuotaMessage.Grant grant : granted.grants().grants()) {
      Option<Holding> holding = answered(step.state(), grant.sequence());
      if (holding.isDefined()) {
        step = grantTaken(step, holding.get(), grant, granted.nowNanos());
      }
    }
    return step;
  }

  /** The holding whose pending ask has this sequence; an answer to any other is refused. */
  private static Option<Holding> answered(HolderState state, long sequence) {
    return state
        .asked()
        .get(sequence)
        .flatMap(state.holdings()::get)
        .filter(holding -> holding.pending().exists(pending -> pending.sequence() == sequence));
  }

  private static Step<HolderState, HolderEffect> grantTaken(
      Step<HolderState, HolderEffect> before,
      Holding holding,
      QuotaMessage.Grant grant,
      long nowNanos) {
    boolean sameEpoch = holding.epoch() == grant.epoch();
    int kept = sameEpoch ? holding.validTokens(nowNanos) : 0;
    long leaseEndNanos = holding.pending().get().sentNanos() + GrantLease.LEASE_NANOS;
    long holdOffNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(grant.waitMillis());
    Holding next =
        holding
            .withTokens(grant.epoch(), kept + grant.tokens(), leaseEndNanos)
            .withPending(Option.none())
            .holdingOff(holdOffNanos);
    Step<HolderState, HolderEffect> served =
        served(before.state().withoutAsked(grant.sequence()), next, nowNanos);
    return asking(
        Step.to(served.state(), before.effects().appendAll(served.effects())),
        holding.customer(),
        nowNanos);
  }

  private Step<HolderState, HolderEffect> notHome(HolderState state, HolderEvent.NotHome event) {
    HolderState next = state;
    if (event.answer().incarnation() != incarnation) {
      return Step.to(state);
    }
    for (Long sequence : event.answer().sequences()) {
      Option<Holding> holding = answered(next, sequence);
      if (holding.isEmpty()) {
        continue;
      }
      Option<NodeId> home = event.answer().home().filter(known -> !known.equals(event.from()));
      next =
          next.withoutAsked(sequence)
              .withHome(Partitions.of(holding.get().customer()), home)
              .with(holding.get().withPending(Option.none()));
    }
    return Step.to(next);
  }

  private Step<HolderState, HolderEffect> tick(HolderState state, long nowNanos) {
    Step<HolderState, HolderEffect> step = Step.to(state);
    for (Holding holding : state.holdings().values()) {
      step = ticked(step, holding, nowNanos);
    }
    return step;
  }

  private static Step<HolderState, HolderEffect> ticked(
      Step<HolderState, HolderEffect> before, Holding holding, long nowNanos) {
    HolderState state = before.state();
    Holding next = holding;
    if (holding.pending().exists(ask -> nowNanos - ask.sentNanos() >= ANSWER_LIMIT_NANOS)) {
      state =
          state
              .withoutAsked(holding.pending().get().sequence())
              .withHome(Partitions.of(holding.customer()), Option.none());
      next = holding.withPending(Option.none());
    }
    Vector<Holding.Waiting> late =
        next.waiting().filter(request -> nowNanos - request.sinceNanos() >= ANSWER_LIMIT_NANOS);
    Step<HolderState, HolderEffect> step =
        refused(
            state,
            next,
            late,
            Failure.of(ResultCode.QUOTA_UNAVAILABLE, "no answer from the home"),
            before.effects());
    Holding remaining = step.state().holdings().get(holding.customer()).get();
    if (!remaining.waiting().isEmpty()) {
      return asking(step, holding.customer(), nowNanos);
    }
    return idle(step, remaining, nowNanos);
  }

  /** Gives unused tokens back before they lapse, and forgets customers that nothing is known of. */
  private static Step<HolderState, HolderEffect> idle(
      Step<HolderState, HolderEffect> step, Holding holding, long nowNanos) {
    if (holding.pending().isDefined()) {
      return step;
    }
    int held = holding.validTokens(nowNanos);
    long leftNanos = holding.leaseEndNanos() - nowNanos;
    if (held > 0 && leftNanos < RETURN_BEFORE_LAPSE_NANOS) {
      int kept = Math.min(held, aheadTokens(holding, nowNanos));
      return ask(step, holding, kept, held - kept, 0, nowNanos);
    }
    boolean known = held > 0 || nowNanos < holding.holdOffNanos();
    if (known || holding.demandPerSecond(nowNanos) > FORGOTTEN_DEMAND_PER_SECOND) {
      return step;
    }
    return Step.to(step.state().without(holding.customer()), step.effects());
  }

  /** Gives every token back; what comes for requests meanwhile is refused. */
  private Step<HolderState, HolderEffect> stopping(HolderState state, long nowNanos) {
    Step<HolderState, HolderEffect> step = Step.to(state);
    for (Holding holding : state.holdings().values()) {
      Failure stopping = Failure.of(ResultCode.NODE_STOPPING);
      step = refused(step.state(), holding, holding.waiting(), stopping, step.effects());
      int held = holding.validTokens(nowNanos);
      if (held > 0) {
        step = ask(step, holding.withWaiting(Vector.empty()), 0, held, 0, nowNanos);
      }
    }
    Step<HolderState, HolderEffect> flushed = flush(step.state());
    return Step.to(flushed.state(), step.effects().appendAll(flushed.effects()));
  }
}
