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
 * Decides which member updates are applied and to which nodes they are passed on.
 *
 * <p>Each update is sent once over every link, and a node that already has it drops it.
 * Anti-entropy, the periodic exchange of digests, later delivers the updates that were lost in a
 * message or on a broken link.
 */
final class GossipPolicy {
  private static final int MAX_UPDATES_PER_MESSAGE = 100;

  private GossipPolicy() {}

  /** Applies updates from another node. */
  static Step<MembershipState, MembershipEffect> onUpdates(
      MembershipState state, NodeId from, Vector<MemberUpdate> updates, long nowMillis) {
    Step<MembershipState, MembershipEffect> step = MembershipStep.of(state);
    for (MemberUpdate update : updates) {
      step =
          step.then(s -> applyUpdate(s, update, Option.some(from), "told-by-" + from, nowMillis));
    }
    return step;
  }

  /** Applies an update and queues it for gossip if it is new. */
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
    HashRing ringBefore = state.table().ring();
    MembershipState updated =
        state
            .withTable(state.table().withUpdate(update, nowMillis))
            .withSuspicions(state.suspicions().remove(node))
            .withUnreachable(state.unreachable().remove(node))
            .withStaleView();
    MembershipState next =
        state.stage() == MembershipState.Stage.JOINING
            ? updated
            : updated.withGossipQueue(updated.gossipQueue().enqueue(update, from));
    return MembershipStep.of(next)
        .with(new MembershipEffect.MemberChanged(update, cause))
        .withAll(notifyDeclaredDead(ringBefore, state.self().node(), update));
  }

  /**
   * Refutes a report of this node's own death.
   *
   * <p>An update with a later incarnation is about another process that has taken this node's name,
   * and a refutation cannot resolve that.
   */
  private static Step<MembershipState, MembershipEffect> refuteOwnDeath(
      MembershipState state, MemberUpdate update, long nowMillis) {
    boolean reportedDead =
        !update.isAlive()
            && update.member().incarnation() == state.self().incarnation()
            && update.supersedes(state.selfUpdate());
    if (!reportedDead || state.stage() == MembershipState.Stage.LEAVING) {
      return MembershipStep.of(state);
    }
    MembershipState refuted = state.withRefutation(update.refutation() + 1);
    MemberUpdate selfUpdate = refuted.selfUpdate();
    return MembershipStep.of(
            refuted
                .withTable(refuted.table().withUpdate(selfUpdate, nowMillis))
                .withGossipQueue(refuted.gossipQueue().enqueue(selfUpdate, Option.none())))
        .with(new MembershipEffect.MemberChanged(selfUpdate, "denied-own-death"));
  }

  /**
   * Sends a node that was declared dead its own death, so that it can refute it. The node is no
   * longer on the ring and gets no gossip, so its former successors send it the update directly.
   */
  private static Option<MembershipEffect> notifyDeclaredDead(
      HashRing ringBefore, NodeId self, MemberUpdate update) {
    boolean shouldNotify =
        update.status() == MemberStatus.DEAD
            && OverlayPolicy.monitoredBy(ringBefore, update.member().node()).contains(self);
    return shouldNotify
        ? Option.some(sendUpdates(update.member(), Vector.of(update)))
        : Option.none();
  }

  /**
   * Sends a node that is recorded as dead, but still sends messages, its own death, so that it can
   * refute it.
   */
  static Step<MembershipState, MembershipEffect> notifyDeadSender(
      MembershipState state, NodeId from) {
    Option<MemberUpdate> dead =
        state.table().latestUpdate(from).filter(update -> update.status() == MemberStatus.DEAD);
    return MembershipStep.of(state)
        .withAll(dead.map(update -> sendUpdates(update.member(), Vector.of(update))));
  }

  /** Sends queued updates to the linked nodes when they are due. */
  static Step<MembershipState, MembershipEffect> flush(MembershipState state, long nowMillis) {
    if (!state.gossipQueue().isDue(nowMillis)) {
      return MembershipStep.of(state);
    }
    Vector<GossipQueue.QueuedUpdate> batch = state.gossipQueue().nextBatch();
    Step<MembershipState, MembershipEffect> step =
        MembershipStep.of(state.withGossipQueue(state.gossipQueue().withoutSentBatch(nowMillis)));
    for (Member link : state.links().flatMap(state.table()::liveMember)) {
      Vector<MemberUpdate> updates =
          batch
              .reject(queued -> queued.sender().contains(link.node()))
              .map(GossipQueue.QueuedUpdate::update);
      if (!updates.isEmpty()) {
        step = step.with(sendUpdates(link, updates));
      }
    }
    return step;
  }

  /**
   * Compares another node's digest with this node's table and sends it the updates in the buckets
   * that differ.
   */
  static Step<MembershipState, MembershipEffect> onDigest(
      MembershipState state, NodeId from, MembershipPeerMessage.Digest digest) {
    Option<Member> sender = state.table().latestUpdate(from).map(MemberUpdate::member);
    if (sender.isEmpty()) {
      return MembershipStep.of(state);
    }
    Step<MembershipState, MembershipEffect> step = MembershipStep.of(state);
    Vector<MemberUpdate> differing = state.table().updatesInDifferingBuckets(digest.bucketHashes());
    for (Vector<MemberUpdate> batch : differing.grouped(MAX_UPDATES_PER_MESSAGE)) {
      step = step.with(sendUpdates(sender.get(), batch));
    }
    return digest.replyRequested()
        ? step.with(new MembershipEffect.Send(sender.get(), digest(state, false)))
        : step;
  }

  static MembershipPeerMessage.Digest digest(MembershipState state, boolean replyRequested) {
    return new MembershipPeerMessage.Digest(replyRequested, state.table().bucketHashes());
  }

  static MembershipEffect sendUpdates(Member to, Vector<MemberUpdate> updates) {
    return new MembershipEffect.Send(to, new MembershipPeerMessage.Updates(updates));
  }
}
