package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MemberStatus;
import org.clementinepost.api.peer.MemberUpdate;
import org.clementinepost.kernel.Step;

/**
 * Decides when a node registers itself, how it joins the fleet, and how partitioned parts of the
 * fleet merge.
 *
 * <p>Registrations in the platform's table serve only for discovery: a node reads a few of them
 * from a random position and exchanges digests with one of the nodes. After it has joined, the
 * table may be unavailable for hours without effect on the node. Retry intervals grow after
 * failures and have jitter, so that the nodes of a failure domain that comes back do not send their
 * requests all at once.
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

  /** Registers, samples registrations and runs anti-entropy, each when it is due. */
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

  /** Handles the result of a registration. The first result makes the first sample due at once. */
  static Step<MembershipState, MembershipEffect> onRegistered(
      MembershipState state, boolean succeeded, long nowMillis, long random) {
    long delayMillis =
        withJitter(succeeded ? REGISTRATION_INTERVAL_MILLIS : MAX_BACKOFF_MILLIS, random);
    Schedule schedule = state.schedule().withNextRegistration(nowMillis + delayMillis);
    boolean first = schedule.nextSampleMillis() == Schedule.NOT_SCHEDULED;
    return MembershipStep.of(
        state.withSchedule(first ? schedule.withNextSample(nowMillis, 0) : schedule));
  }

  private static Step<MembershipState, MembershipEffect> sample(
      MembershipState state, long nowMillis, long random) {
    if (nowMillis < state.schedule().nextSampleMillis()) {
      return MembershipStep.of(state);
    }
    int samplesWhileAlone = state.schedule().samplesWhileAlone();
    Schedule next =
        state.schedule().withNextSample(nowMillis + PLATFORM_TIMEOUT_MILLIS, samplesWhileAlone);
    return MembershipStep.of(state.withSchedule(next))
        .with(new MembershipEffect.SampleRegistrations(random));
  }

  /**
   * Handles a sample of the registrations: synchronizes with one of the nodes that are not known to
   * be alive.
   */
  static Step<MembershipState, MembershipEffect> onSampled(
      MembershipState state, Vector<Member> members, long nowMillis, long random) {
    Vector<Member> unknown = members.filter(member -> isUnknown(state, member));
    boolean alone = state.isAlone();
    int samplesWhileAlone =
        alone ? Math.min(state.schedule().samplesWhileAlone() + 1, MAX_BACKOFF_DOUBLINGS) : 0;
    long joinedIntervalMillis =
        Math.max(
            MIN_SAMPLE_INTERVAL_MILLIS,
            state.table().ring().size() * SAMPLE_INTERVAL_MILLIS_PER_NODE);
    long intervalMillis =
        alone
            ? Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << (samplesWhileAlone - 1))
            : joinedIntervalMillis;
    Schedule next =
        state
            .schedule()
            .withNextSample(nowMillis + withJitter(intervalMillis, random), samplesWhileAlone);
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

  /**
   * Exchanges digests with one linked node, and with one node that is recorded as dead, so that
   * partitioned parts of the fleet merge.
   */
  private static Step<MembershipState, MembershipEffect> runAntiEntropy(
      MembershipState state, long nowMillis, long random) {
    if (nowMillis < state.schedule().nextAntiEntropyMillis()) {
      return MembershipStep.of(state);
    }
    Schedule next =
        state
            .schedule()
            .withNextAntiEntropy(nowMillis + withJitter(ANTI_ENTROPY_INTERVAL_MILLIS, random));
    Vector<Member> linked = state.links().flatMap(state.table()::liveMember);
    MemberTable pruned = state.table().withoutDeadBefore(nowMillis - DEAD_MEMBER_RETENTION_MILLIS);
    return MembershipStep.of(state.withSchedule(next).withTable(pruned))
        .then(s -> syncWith(s, pickRandom(linked, random)))
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

  /**
   * Sends a node this node's update about itself and a digest, and requests its digest in return.
   */
  static Step<MembershipState, MembershipEffect> syncWith(
      MembershipState state, Option<Member> other) {
    if (other.isEmpty()) {
      return MembershipStep.of(state);
    }
    return MembershipStep.of(state)
        .with(GossipPolicy.sendUpdates(other.get(), Vector.of(state.selfUpdate())))
        .with(new MembershipEffect.Send(other.get(), GossipPolicy.digest(state, true)));
  }

  /** Marks this node as joined, now that its table has been compared with another node's. */
  static Step<MembershipState, MembershipEffect> markJoined(MembershipState state) {
    return state.stage() == MembershipState.Stage.JOINING
        ? MembershipStep.of(state.withStage(MembershipState.Stage.JOINED).withStaleView())
        : MembershipStep.of(state);
  }

  /**
   * Announces to the linked nodes and to the monitors of this node that it is leaving, and removes
   * its registration.
   */
  static Step<MembershipState, MembershipEffect> leave(MembershipState state) {
    MembershipState leaving = state.withStage(MembershipState.Stage.LEAVING);
    Vector<NodeId> notified =
        state
            .links()
            .appendAll(OverlayPolicy.monitorsOf(state.table().ring(), state.self().node()))
            .distinct();
    return MembershipStep.of(leaving)
        .withAll(
            notified
                .flatMap(state.table()::liveMember)
                .map(member -> GossipPolicy.sendUpdates(member, Vector.of(leaving.selfUpdate()))))
        .with(new MembershipEffect.Unregister(state.self()));
  }

  private static <T> Option<T> pickRandom(Vector<T> candidates, long random) {
    return candidates.isEmpty()
        ? Option.none()
        : Option.some(candidates.get((int) Math.floorMod(random, (long) candidates.size())));
  }

  /** Returns a delay between 0.5 and 1.5 times the given one. */
  private static long withJitter(long millis, long random) {
    return millis / 2 + Math.floorMod(random >>> 1, Math.max(1, millis));
  }
}
