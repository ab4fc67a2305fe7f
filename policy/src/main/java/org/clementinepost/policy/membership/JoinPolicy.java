package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MemberStatus;
import org.clementinepost.api.peer.MemberUpdate;
import org.clementinepost.kernel.Step;

/**
 * Decides when a node registers, how it meets the fleet, and how parted fleets meet again.
 *
 * <p>The table serves for meeting alone: a node reads a few registrations from a random place on
 * and compares its table with one of theirs. Once it has met the fleet, the table may be away for
 * hours. Waits grow after failures and are drawn at random, so that a failure domain that comes
 * back does not ask all at once.
 */
final class JoinPolicy {
  private static final long REGISTER_MILLIS = 600_000;
  private static final long FIRST_WAIT_MILLIS = 1_000;
  private static final long MAX_WAIT_MILLIS = 30_000;
  private static final long SAMPLE_MILLIS = 15_000;
  private static final long SAMPLE_MILLIS_PER_NODE = 100;
  private static final long COMPARE_MILLIS = 30_000;
  private static final long ANSWER_LIMIT_MILLIS = 10_000;
  private static final int MAX_DOUBLINGS = 5;
  private static final long FORGET_DEAD_MILLIS = 3_600_000;

  private JoinPolicy() {}

  /** Does what is due. */
  static Step<MembershipState, MembershipEffect> tick(
      MembershipState state, long nowMillis, long random) {
    return MembershipStep.of(state)
        .then(s -> register(s, nowMillis))
        .then(s -> sample(s, nowMillis, random))
        .then(s -> compare(s, nowMillis, random));
  }

  private static Step<MembershipState, MembershipEffect> register(
      MembershipState state, long nowMillis) {
    if (nowMillis < state.schedule().registerMillis()) {
      return MembershipStep.of(state);
    }
    Schedule next = state.schedule().registerAt(nowMillis + ANSWER_LIMIT_MILLIS);
    return MembershipStep.of(state.withSchedule(next))
        .with(new MembershipEffect.Register(state.self()));
  }

  /** The registration is answered: the first time, a look for others follows. */
  static Step<MembershipState, MembershipEffect> registered(
      MembershipState state, boolean done, long nowMillis, long random) {
    long waitMillis = jittered(done ? REGISTER_MILLIS : MAX_WAIT_MILLIS, random);
    Schedule registered = state.schedule().registerAt(nowMillis + waitMillis);
    boolean first = registered.sampleMillis() == Schedule.NOT_YET;
    return MembershipStep.of(
        state.withSchedule(first ? registered.sampleAt(nowMillis, 0) : registered));
  }

  private static Step<MembershipState, MembershipEffect> sample(
      MembershipState state, long nowMillis, long random) {
    if (nowMillis < state.schedule().sampleMillis()) {
      return MembershipStep.of(state);
    }
    int inVain = state.schedule().samplesInVain();
    Schedule next = state.schedule().sampleAt(nowMillis + ANSWER_LIMIT_MILLIS, inVain);
    return MembershipStep.of(state.withSchedule(next)).with(new MembershipEffect.Sample(random));
  }

  /** Some registrations have come: turns to one node that is not known to live. */
  static Step<MembershipState, MembershipEffect> sampled(
      MembershipState state, Vector<Member> registered, long nowMillis, long random) {
    Vector<Member> unknown = registered.filter(member -> isUnknown(state, member));
    boolean alone = state.isAlone();
    int inVain = alone ? Math.min(state.schedule().samplesInVain() + 1, MAX_DOUBLINGS) : 0;
    long fleetMillis =
        Math.max(SAMPLE_MILLIS, state.table().ring().size() * SAMPLE_MILLIS_PER_NODE);
    long waitMillis =
        alone ? Math.min(MAX_WAIT_MILLIS, FIRST_WAIT_MILLIS << (inVain - 1)) : fleetMillis;
    Schedule next = state.schedule().sampleAt(nowMillis + jittered(waitMillis, random), inVain);
    return meet(state.withSchedule(next), pick(unknown, random));
  }

  private static boolean isUnknown(MembershipState state, Member member) {
    boolean self = member.node().equals(state.self().node());
    boolean known =
        state
            .table()
            .live(member.node())
            .exists(live -> live.incarnation() >= member.incarnation());
    return !self && !known;
  }

  /** Compares tables with one linked node, and with one that is held dead. */
  private static Step<MembershipState, MembershipEffect> compare(
      MembershipState state, long nowMillis, long random) {
    if (nowMillis < state.schedule().compareMillis()) {
      return MembershipStep.of(state);
    }
    Schedule next = state.schedule().compareAt(nowMillis + jittered(COMPARE_MILLIS, random));
    Vector<Member> links = state.links().flatMap(state.table()::live);
    MemberTable kept = state.table().forgetBefore(nowMillis - FORGET_DEAD_MILLIS);
    return MembershipStep.of(state.withSchedule(next).withTable(kept))
        .then(s -> meet(s, pick(links, random)))
        .then(s -> meet(s, pick(dead(s), random)));
  }

  private static Vector<Member> dead(MembershipState state) {
    int live = state.table().ring().size();
    if (live == state.table().entries().size()) {
      return Vector.empty();
    }
    return state
        .table()
        .entries()
        .valuesIterator()
        .map(MemberTable.Entry::update)
        .filter(update -> update.status() == MemberStatus.DEAD)
        .map(MemberUpdate::member)
        .toVector();
  }

  /** Tells a node of this one, and asks it to compare tables. */
  static Step<MembershipState, MembershipEffect> meet(MembershipState state, Option<Member> other) {
    if (other.isEmpty()) {
      return MembershipStep.of(state);
    }
    return MembershipStep.of(state)
        .with(SpreadPolicy.send(other.get(), Vector.of(state.own())))
        .with(new MembershipEffect.Send(other.get(), SpreadPolicy.digest(state, true)));
  }

  /** Another table has been compared with this one, so this node has met the fleet. */
  static Step<MembershipState, MembershipEffect> met(MembershipState state) {
    return state.stage() == MembershipState.Stage.JOINING
        ? MembershipStep.of(state.withStage(MembershipState.Stage.JOINED).withStaleView())
        : MembershipStep.of(state);
  }

  /** This node stops: tells its links and those that monitor it. */
  static Step<MembershipState, MembershipEffect> leave(MembershipState state) {
    MembershipState leaving = state.withStage(MembershipState.Stage.LEAVING);
    Vector<NodeId> told =
        state
            .links()
            .appendAll(OverlayPolicy.monitorsOf(state.table().ring(), state.self().node()))
            .distinct();
    return MembershipStep.of(leaving)
        .withAll(
            told.flatMap(state.table()::live)
                .map(member -> SpreadPolicy.send(member, Vector.of(leaving.own()))))
        .with(new MembershipEffect.Unregister(state.self()));
  }

  private static <T> Option<T> pick(Vector<T> from, long random) {
    return from.isEmpty()
        ? Option.none()
        : Option.some(from.get((int) Math.floorMod(random, (long) from.size())));
  }

  /** A wait between a half and three halves of what is asked. */
  private static long jittered(long millis, long random) {
    return millis / 2 + Math.floorMod(random >>> 1, Math.max(1, millis));
  }
}
