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
  private static final long REGISTRATION_INTERVAL_MILLIS = 600_000;
  private static final long INITIAL_BACKOFF_MILLIS = 1_000;
  private static final long MAX_BACKOFF_MILLIS = 30_000;
  private static final long MIN_SAMPLE_INTERVAL_MILLIS = 15_000;
  private static final long SAMPLE_INTERVAL_MILLIS_PER_NODE = 100;
  private static final long ANTI_ENTROPY_INTERVAL_MILLIS = 30_000;
  private static final long PLATFORM_TIMEOUT_MILLIS = 10_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 5;
  private static final long DEAD_MEMBER_RETENTION_MILLIS = 3_600_000;

  private JoinPolicy() {}

  /** Does what is due. */
  static Step<MembershipState, MembershipEffect> onTick(
      MembershipState state, long nowMillis, long random) {
    return MembershipStep.of(state)
        .then(s -> register(s, nowMillis))
        .then(s -> sample(s, nowMillis, random))
        .then(s -> runAntiEntropy(s, nowMillis, random));
  }

  private static Step<MembershipState, MembershipEffect> register(
      MembershipState state, long nowMillis) {
    if (nowMillis < state.schedule().nextRegistrationMillis()) {
      return MembershipStep.of(state);
    }
    Schedule next = state.schedule().withNextRegistration(nowMillis + PLATFORM_TIMEOUT_MILLIS);
    return MembershipStep.of(state.withSchedule(next))
        .with(new MembershipEffect.Register(state.self()));
  }

  /** The registration is answered: the first time, a look for others follows. */
  static Step<MembershipState, MembershipEffect> onRegistered(
      MembershipState state, boolean done, long nowMillis, long random) {
    long waitMillis = withJitter(done ? REGISTRATION_INTERVAL_MILLIS : MAX_BACKOFF_MILLIS, random);
    Schedule registered = state.schedule().withNextRegistration(nowMillis + waitMillis);
    boolean first = registered.nextSampleMillis() == Schedule.NOT_SCHEDULED;
    return MembershipStep.of(
        state.withSchedule(first ? registered.withNextSample(nowMillis, 0) : registered));
  }

  private static Step<MembershipState, MembershipEffect> sample(
      MembershipState state, long nowMillis, long random) {
    if (nowMillis < state.schedule().nextSampleMillis()) {
      return MembershipStep.of(state);
    }
    int inVain = state.schedule().samplesWhileAlone();
    Schedule next = state.schedule().withNextSample(nowMillis + PLATFORM_TIMEOUT_MILLIS, inVain);
    return MembershipStep.of(state.withSchedule(next))
        .with(new MembershipEffect.SampleRegistrations(random));
  }

  /** Some registrations have come: turns to one node that is not known to live. */
  static Step<MembershipState, MembershipEffect> onSampled(
      MembershipState state, Vector<Member> registered, long nowMillis, long random) {
    Vector<Member> unknown = registered.filter(member -> isUnknown(state, member));
    boolean alone = state.isAlone();
    int inVain =
        alone ? Math.min(state.schedule().samplesWhileAlone() + 1, MAX_BACKOFF_DOUBLINGS) : 0;
    long fleetMillis =
        Math.max(
            MIN_SAMPLE_INTERVAL_MILLIS,
            state.table().ring().size() * SAMPLE_INTERVAL_MILLIS_PER_NODE);
    long waitMillis =
        alone ? Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << (inVain - 1)) : fleetMillis;
    Schedule next =
        state.schedule().withNextSample(nowMillis + withJitter(waitMillis, random), inVain);
    return syncWith(state.withSchedule(next), pickRandom(unknown, random));
  }

  private static boolean isUnknown(MembershipState state, Member member) {
    boolean self = member.node().equals(state.self().node());
    boolean known =
        state
            .table()
            .liveMember(member.node())
            .exists(live -> live.incarnation() >= member.incarnation());
    return !self && !known;
  }

  /** Compares tables with one linked node, and with one that is held dead. */
  private static Step<MembershipState, MembershipEffect> runAntiEntropy(
      MembershipState state, long nowMillis, long random) {
    if (nowMillis < state.schedule().nextAntiEntropyMillis()) {
      return MembershipStep.of(state);
    }
    Schedule next =
        state
            .schedule()
            .withNextAntiEntropy(nowMillis + withJitter(ANTI_ENTROPY_INTERVAL_MILLIS, random));
    Vector<Member> links = state.links().flatMap(state.table()::liveMember);
    MemberTable kept = state.table().withoutDeadBefore(nowMillis - DEAD_MEMBER_RETENTION_MILLIS);
    return MembershipStep.of(state.withSchedule(next).withTable(kept))
        .then(s -> syncWith(s, pickRandom(links, random)))
        .then(s -> syncWith(s, pickRandom(deadMembers(s), random)));
  }

  private static Vector<Member> deadMembers(MembershipState state) {
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
  static Step<MembershipState, MembershipEffect> syncWith(
      MembershipState state, Option<Member> other) {
    if (other.isEmpty()) {
      return MembershipStep.of(state);
    }
    return MembershipStep.of(state)
        .with(GossipPolicy.sendUpdates(other.get(), Vector.of(state.selfUpdate())))
        .with(new MembershipEffect.Send(other.get(), GossipPolicy.digest(state, true)));
  }

  /** Another table has been compared with this one, so this node has met the fleet. */
  static Step<MembershipState, MembershipEffect> markJoined(MembershipState state) {
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
            told.flatMap(state.table()::liveMember)
                .map(member -> GossipPolicy.sendUpdates(member, Vector.of(leaving.selfUpdate()))))
        .with(new MembershipEffect.Unregister(state.self()));
  }

  private static <T> Option<T> pickRandom(Vector<T> from, long random) {
    return from.isEmpty()
        ? Option.none()
        : Option.some(from.get((int) Math.floorMod(random, (long) from.size())));
  }

  /** A wait between a half and three halves of what is asked. */
  private static long withJitter(long millis, long random) {
    return millis / 2 + Math.floorMod(random >>> 1, Math.max(1, millis));
  }
}
