package org.clementinepost.policy.directory;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.Step;
import org.clementinepost.policy.membership.StableHash;

/**
 * Decides what an ingress node asks of the directory and what routing is told.
 *
 * <p>A service is learned when a request first needs it and dropped when none has for long. What is
 * known stays in use until a directory node has given a complete answer; the host has the last word
 * on what is out of date.
 */
final class LearningPolicy {
  private static final long ANSWER_WAIT_MILLIS = 400;
  private static final long MAX_ANSWER_WAIT_MILLIS = 10_000;
  private static final long REFRESH_MILLIS = 120_000;
  private static final long UNUSED_MILLIS = 600_000;
  private static final long USE_NOTED_MILLIS = 10_000;
  private static final int MAX_ATTEMPTS_WAITED = 6;

  private LearningPolicy() {}

  /** A request needs a service. */
  static Step<DirectoryState, DirectoryEffect> wanted(
      DirectoryState state, ServiceId service, Reply<Boolean> known, long nowMillis) {
    if (!state.learned().containsKey(service)) {
      Vector<NodeId> holders = state.fleet().holders(service);
      NodeId source = source(state, service, holders, 0);
      return ask(state, service, LearnedService.wanted(holders, source, known, nowMillis));
    }
    LearnedService learned = state.learned().get(service).get();
    boolean stale = nowMillis - learned.usedMillis() >= USE_NOTED_MILLIS;
    DirectoryState used = stale ? state.withLearned(service, learned.used(nowMillis)) : state;
    boolean someTold = learned.told().exists(told -> !told.isEmpty());
    if (someTold || learned.isAnswered()) {
      return Step.to(used, new DirectoryEffect.Answer(known, someTold));
    }
    return Step.to(used.withLearned(service, learned.waitedFor(known)));
  }

  /** A directory node has answered, or tells of a change. */
  static Step<DirectoryState, DirectoryEffect> received(
      DirectoryState state, NodeId from, DirectoryPeerMessage.Subset subset) {
    boolean expected =
        state
            .learned()
            .get(subset.service())
            .exists(learned -> learned.source().equals(from) && isNewer(subset, learned));
    if (!expected) {
      return Step.to(state);
    }
    LearnedService learned = state.learned().get(subset.service()).get();
    Vector<Endpoint> endpoints =
        subset.complete() ? subset.endpoints() : union(learned.endpoints(), subset.endpoints());
    return tell(
        state.withLearned(subset.service(), learned.answered(subset, endpoints)), subset.service());
  }

  private static boolean isNewer(DirectoryPeerMessage.Subset subset, LearnedService learned) {
    return subset.incarnation() > learned.incarnation()
        || (subset.incarnation() == learned.incarnation() && subset.version() > learned.version());
  }

  private static Vector<Endpoint> union(Vector<Endpoint> known, Vector<Endpoint> next) {
    return known
        .reject(old -> next.exists(endpoint -> endpoint.server().equals(old.server())))
        .appendAll(next);
  }

  /** The fleet has changed: asks other directory nodes and leaves out hosts that are gone. */
  static Step<DirectoryState, DirectoryEffect> moved(
      DirectoryState state, Fleet.Change change, long nowMillis) {
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (var entry : state.learned()) {
      if (state.fleet().moves(entry._1, entry._2.holders(), change)) {
        step = step.then(s -> holdersMoved(s, entry._1, entry._2, change, nowMillis));
      }
      step = step.then(s -> tell(s, entry._1));
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> holdersMoved(
      DirectoryState state,
      ServiceId service,
      LearnedService learned,
      Fleet.Change change,
      long nowMillis) {
    Vector<NodeId> holders = state.fleet().holders(service);
    DirectoryState next = state.withLearned(service, learned.withHolders(holders));
    boolean stays = holders.contains(learned.source()) && !change.left().contains(learned.source());
    return stays ? Step.to(next) : askAgain(next, service, nowMillis);
  }

  /** Time has passed: asks again where no answer came, and drops what is not used. */
  static Step<DirectoryState, DirectoryEffect> tick(DirectoryState state, long nowMillis) {
    Step<DirectoryState, DirectoryEffect> step = Step.to(state);
    for (var entry : state.learned()) {
      step = step.then(s -> tick(s, entry._1, entry._2, nowMillis));
    }
    return step;
  }

  private static Step<DirectoryState, DirectoryEffect> tick(
      DirectoryState state, ServiceId service, LearnedService learned, long nowMillis) {
    if (nowMillis - learned.usedMillis() >= UNUSED_MILLIS) {
      return drop(state, service, learned);
    }
    long askedMillis = nowMillis - learned.askedMillis();
    if (!learned.isAnswered()) {
      long waitMillis =
          Math.min(
              MAX_ANSWER_WAIT_MILLIS, ANSWER_WAIT_MILLIS * Math.max(1, learned.attempts() / 2));
      return askedMillis >= waitMillis ? askAgain(state, service, nowMillis) : Step.to(state);
    }
    if (askedMillis < REFRESH_MILLIS) {
      return Step.to(state);
    }
    return Step.to(
        state.withLearned(service, learned.refreshed(nowMillis)),
        subscribe(service, learned.source(), learned.version()));
  }

  private static Step<DirectoryState, DirectoryEffect> drop(
      DirectoryState state, ServiceId service, LearnedService learned) {
    return Step.<DirectoryState, DirectoryEffect>to(
            state.withoutLearned(service), unsubscribe(service, learned.source()))
        .with(new DirectoryEffect.Tell(service, Vector.empty()))
        .withAll(learned.waiting().map(reply -> new DirectoryEffect.Answer(reply, false)));
  }

  private static Step<DirectoryState, DirectoryEffect> askAgain(
      DirectoryState state, ServiceId service, long nowMillis) {
    LearnedService learned = state.learned().get(service).get();
    NodeId source = source(state, service, learned.holders(), learned.attempts());
    LearnedService next = learned.asked(source, nowMillis);
    boolean givesUp = next.attempts() > MAX_ATTEMPTS_WAITED;
    Vector<Reply<Boolean>> refused = givesUp ? next.waiting() : Vector.empty();
    Option<DirectoryEffect> leave =
        source.equals(learned.source())
            ? Option.none()
            : Option.some(unsubscribe(service, learned.source()));
    return ask(state, service, givesUp ? next.withoutWaiting() : next)
        .withAll(leave)
        .withAll(refused.map(reply -> new DirectoryEffect.Answer(reply, false)));
  }

  private static Step<DirectoryState, DirectoryEffect> ask(
      DirectoryState state, ServiceId service, LearnedService next) {
    return Step.to(
        state.withLearned(service, next), subscribe(service, next.source(), next.version()));
  }

  private static DirectoryEffect unsubscribe(ServiceId service, NodeId source) {
    return new DirectoryEffect.Send(source, new DirectoryPeerMessage.Unsubscribe(service));
  }

  private static DirectoryEffect subscribe(ServiceId service, NodeId source, long version) {
    return new DirectoryEffect.Send(source, new DirectoryPeerMessage.Subscribe(service, version));
  }

  /** Each ingress node prefers another of the holders, so that they share the subscribers. */
  private static NodeId source(
      DirectoryState state, ServiceId service, Vector<NodeId> holders, int attempt) {
    NodeId self = state.self().node();
    if (holders.isEmpty()) {
      return self;
    }
    long first = StableHash.of(StableHash.of(self.value()), StableHash.of(service.value())) >>> 1;
    return holders.get((int) ((first % holders.size() + attempt) % holders.size()));
  }

  private static Step<DirectoryState, DirectoryEffect> tell(
      DirectoryState state, ServiceId service) {
    LearnedService learned = state.learned().get(service).get();
    Vector<Endpoint> usable =
        learned.endpoints().filter(endpoint -> state.fleet().isLive(endpoint.host()));
    boolean useful = !usable.isEmpty() || learned.isAnswered();
    Vector<Reply<Boolean>> answered = useful ? learned.waiting() : Vector.empty();
    Step<DirectoryState, DirectoryEffect> step =
        learned.told().contains(usable)
            ? Step.to(state)
            : Step.to(
                state.withLearned(service, learned.told(usable)),
                new DirectoryEffect.Tell(service, usable));
    if (answered.isEmpty()) {
      return step;
    }
    LearnedService told = step.state().learned().get(service).get();
    return step.then(s -> Step.to(s.withLearned(service, told.withoutWaiting())))
        .withAll(answered.map(reply -> new DirectoryEffect.Answer(reply, !usable.isEmpty())));
  }
}
