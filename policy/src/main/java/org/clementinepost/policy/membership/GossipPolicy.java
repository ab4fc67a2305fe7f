package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MemberStatus;
import org.clementinepost.api.peer.MemberUpdate;
import org.clementinepost.api.peer.MembershipPeerMessage;
import org.clementinepost.kernel.Step;

/**
 * Decides which news is believed and to whom it is passed on.
 *
 * <p>News goes over every kept link once; a node that has had it drops it. What a lost message or a
 * cut link keeps from a node, the comparison of tables brings later.
 */
final class GossipPolicy {
  private static final int MAX_UPDATES_PER_MESSAGE = 100;

  private GossipPolicy() {}

  /** Takes several pieces of news from another node. */
  static Step<MembershipState, MembershipEffect> onUpdates(
      MembershipState state, NodeId from, Vector<MemberUpdate> updates, long nowMillis) {
    Step<MembershipState, MembershipEffect> step = MembershipStep.of(state);
    for (MemberUpdate update : updates) {
      step =
          step.then(s -> applyUpdate(s, update, Option.some(from), "told-by-" + from, nowMillis));
    }
    return step;
  }

  /** Takes one piece of news, and passes it on when it is new. */
  static Step<MembershipState, MembershipEffect> applyUpdate(
      MembershipState state,
      MemberUpdate update,
      Option<NodeId> from,
      String cause,
      long nowMillis) {
    NodeId node = update.member().node();
    if (node.equals(state.self().node())) {
      return refuteOwnDeath(state, update, nowMillis);
    }
    if (!state.table().isNewer(update)) {
      return MembershipStep.of(state);
    }
    HashRing before = state.table().ring();
    MembershipState known =
        state
            .withTable(state.table().withUpdate(update, nowMillis))
            .withSuspicions(state.suspicions().remove(node))
            .withUnreachable(state.unreachable().remove(node))
            .withStaleView();
    MembershipState next =
        state.stage() == MembershipState.Stage.JOINING
            ? known
            : known.withGossipQueue(known.gossipQueue().enqueue(update, from));
    return MembershipStep.of(next)
        .with(new MembershipEffect.MemberChanged(update, cause))
        .withAll(notifyDeclaredDead(before, state.self().node(), update));
  }

  /**
   * Denies this node's own death.
   *
   * <p>News of a later incarnation is of another process that has taken the node's name; no denial
   * can settle that.
   */
  private static Step<MembershipState, MembershipEffect> refuteOwnDeath(
      MembershipState state, MemberUpdate update, long nowMillis) {
    boolean accused =
        !update.isAlive()
            && update.member().incarnation() == state.self().incarnation()
            && update.supersedes(state.selfUpdate());
    if (!accused || state.stage() == MembershipState.Stage.LEAVING) {
      return MembershipStep.of(state);
    }
    MembershipState denied = state.withRefutation(update.refutation() + 1);
    MemberUpdate own = denied.selfUpdate();
    return MembershipStep.of(
            denied
                .withTable(denied.table().withUpdate(own, nowMillis))
                .withGossipQueue(denied.gossipQueue().enqueue(own, Option.none())))
        .with(new MembershipEffect.MemberChanged(own, "denied-own-death"));
  }

  /** The accused no longer gets news over the ring, so those after it tell it directly. */
  private static Option<MembershipEffect> notifyDeclaredDead(
      HashRing before, NodeId self, MemberUpdate update) {
    boolean tells =
        update.status() == MemberStatus.DEAD
            && OverlayPolicy.monitoredBy(before, update.member().node()).contains(self);
    return tells ? Option.some(sendUpdates(update.member(), Vector.of(update))) : Option.none();
  }

  /** Tells a node that is held dead, and yet speaks, so that it can deny it. */
  static Step<MembershipState, MembershipEffect> notifyDeadSender(
      MembershipState state, NodeId from) {
    Option<MemberUpdate> dead =
        state.table().latestUpdate(from).filter(update -> update.status() == MemberStatus.DEAD);
    return MembershipStep.of(state)
        .withAll(dead.map(update -> sendUpdates(update.member(), Vector.of(update))));
  }

  /** Passes on the news that waits, when it is due. */
  static Step<MembershipState, MembershipEffect> flush(MembershipState state, long nowMillis) {
    if (!state.gossipQueue().isDue(nowMillis)) {
      return MembershipStep.of(state);
    }
    Vector<GossipQueue.QueuedUpdate> items = state.gossipQueue().nextBatch();
    Step<MembershipState, MembershipEffect> step =
        MembershipStep.of(state.withGossipQueue(state.gossipQueue().withoutSentBatch(nowMillis)));
    for (Member link : state.links().flatMap(state.table()::liveMember)) {
      Vector<MemberUpdate> updates =
          items
              .reject(item -> item.sender().contains(link.node()))
              .map(GossipQueue.QueuedUpdate::update);
      if (!updates.isEmpty()) {
        step = step.with(sendUpdates(link, updates));
      }
    }
    return step;
  }

  /** Compares another node's digest with this table, and sends what differs. */
  static Step<MembershipState, MembershipEffect> onDigest(
      MembershipState state, NodeId from, MembershipPeerMessage.Digest digest) {
    Option<Member> sender = state.table().latestUpdate(from).map(MemberUpdate::member);
    if (sender.isEmpty()) {
      return MembershipStep.of(state);
    }
    Step<MembershipState, MembershipEffect> step = MembershipStep.of(state);
    Vector<MemberUpdate> differing = state.table().updatesInDifferingBuckets(digest.bucketHashes());
    for (Vector<MemberUpdate> part : differing.grouped(MAX_UPDATES_PER_MESSAGE)) {
      step = step.with(sendUpdates(sender.get(), part));
    }
    return digest.replyRequested()
        ? step.with(new MembershipEffect.Send(sender.get(), digest(state, false)))
        : step;
  }

  static MembershipPeerMessage.Digest digest(MembershipState state, boolean answerWanted) {
    return new MembershipPeerMessage.Digest(answerWanted, state.table().bucketHashes());
  }

  static MembershipEffect sendUpdates(Member to, Vector<MemberUpdate> updates) {
    return new MembershipEffect.Send(to, new MembershipPeerMessage.Updates(updates));
  }
}
