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
final class SpreadPolicy {
  private static final int MAX_UPDATES_PER_MESSAGE = 100;

  private SpreadPolicy() {}

  /** Takes several pieces of news from another node. */
  static Step<MembershipState, MembershipEffect> receive(
      MembershipState state, NodeId from, Vector<MemberUpdate> updates, long nowMillis) {
    Step<MembershipState, MembershipEffect> step = MembershipStep.of(state);
    for (MemberUpdate update : updates) {
      step = step.then(s -> learn(s, update, Option.some(from), "told-by-" + from, nowMillis));
    }
    return step;
  }

  /** Takes one piece of news, and passes it on when it is new. */
  static Step<MembershipState, MembershipEffect> learn(
      MembershipState state,
      MemberUpdate update,
      Option<NodeId> from,
      String cause,
      long nowMillis) {
    NodeId node = update.member().node();
    if (node.equals(state.self().node())) {
      return ofSelf(state, update, nowMillis);
    }
    if (!state.table().isNews(update)) {
      return MembershipStep.of(state);
    }
    Ring before = state.table().ring();
    MembershipState known =
        state
            .withTable(state.table().with(update, nowMillis))
            .withSuspicions(state.suspicions().remove(node))
            .withUnreachable(state.unreachable().remove(node))
            .withStaleView();
    MembershipState next =
        state.stage() == MembershipState.Stage.JOINING
            ? known
            : known.withFlood(known.flood().with(update, from));
    return MembershipStep.of(next)
        .with(new MembershipEffect.Changed(update, cause))
        .withAll(tellAccused(before, state.self().node(), update));
  }

  /**
   * Denies this node's own death.
   *
   * <p>News of a later incarnation is of another process that has taken the node's name; no denial
   * can settle that.
   */
  private static Step<MembershipState, MembershipEffect> ofSelf(
      MembershipState state, MemberUpdate update, long nowMillis) {
    boolean accused =
        !update.isAlive()
            && update.member().incarnation() == state.self().incarnation()
            && update.supersedes(state.own());
    if (!accused || state.stage() == MembershipState.Stage.LEAVING) {
      return MembershipStep.of(state);
    }
    MembershipState denied = state.withRefutation(update.refutation() + 1);
    MemberUpdate own = denied.own();
    return MembershipStep.of(
            denied
                .withTable(denied.table().with(own, nowMillis))
                .withFlood(denied.flood().with(own, Option.none())))
        .with(new MembershipEffect.Changed(own, "denied-own-death"));
  }

  /** The accused no longer gets news over the ring, so those after it tell it directly. */
  private static Option<MembershipEffect> tellAccused(
      Ring before, NodeId self, MemberUpdate update) {
    boolean tells =
        update.status() == MemberStatus.DEAD
            && OverlayPolicy.monitored(before, update.member().node()).contains(self);
    return tells ? Option.some(send(update.member(), Vector.of(update))) : Option.none();
  }

  /** Tells a node that is held dead, and yet speaks, so that it can deny it. */
  static Step<MembershipState, MembershipEffect> answerTheDead(MembershipState state, NodeId from) {
    Option<MemberUpdate> dead =
        state.table().newest(from).filter(update -> update.status() == MemberStatus.DEAD);
    return MembershipStep.of(state)
        .withAll(dead.map(update -> send(update.member(), Vector.of(update))));
  }

  /** Passes on the news that waits, when it is due. */
  static Step<MembershipState, MembershipEffect> flush(MembershipState state, long nowMillis) {
    if (!state.flood().isDue(nowMillis)) {
      return MembershipStep.of(state);
    }
    Vector<Flood.Item> items = state.flood().next();
    Step<MembershipState, MembershipEffect> step =
        MembershipStep.of(state.withFlood(state.flood().sent(nowMillis)));
    for (Member link : state.links().flatMap(state.table()::live)) {
      Vector<MemberUpdate> updates =
          items.reject(item -> item.from().contains(link.node())).map(Flood.Item::update);
      if (!updates.isEmpty()) {
        step = step.with(send(link, updates));
      }
    }
    return step;
  }

  /** Compares another node's digest with this table, and sends what differs. */
  static Step<MembershipState, MembershipEffect> compare(
      MembershipState state, NodeId from, MembershipPeerMessage.Digest digest) {
    Option<Member> sender = state.table().newest(from).map(MemberUpdate::member);
    if (sender.isEmpty()) {
      return MembershipStep.of(state);
    }
    Step<MembershipState, MembershipEffect> step = MembershipStep.of(state);
    Vector<MemberUpdate> differing = state.table().differing(digest.buckets());
    for (Vector<MemberUpdate> part : differing.grouped(MAX_UPDATES_PER_MESSAGE)) {
      step = step.with(send(sender.get(), part));
    }
    return digest.answerWanted()
        ? step.with(new MembershipEffect.Send(sender.get(), digest(state, false)))
        : step;
  }

  static MembershipPeerMessage.Digest digest(MembershipState state, boolean answerWanted) {
    return new MembershipPeerMessage.Digest(answerWanted, state.table().buckets());
  }

  static MembershipEffect send(Member to, Vector<MemberUpdate> updates) {
    return new MembershipEffect.Send(to, new MembershipPeerMessage.Updates(updates));
  }
}
