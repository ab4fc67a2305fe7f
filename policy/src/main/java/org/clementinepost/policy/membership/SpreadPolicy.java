package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MemberStatus;
import org.clementinepost.api.peer.MemberUpdate;
import org.clementinepost.api.peer.MembershipPeerMessage;

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
  static Turn receive(
      MembershipState state, NodeId from, Vector<MemberUpdate> updates, long nowMillis) {
    Turn turn = Turn.of(state);
    for (MemberUpdate update : updates) {
      turn = turn.then(s -> learn(s, update, Option.some(from), "told-by-" + from, nowMillis));
    }
    return turn;
  }

  /** Takes one piece of news, and passes it on when it is new. */
  static Turn learn(
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
      return Turn.of(state);
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
    return Turn.of(next)
        .with(new MembershipEffect.Changed(update, cause))
        .withAll(tellAccused(before, state.self().node(), update));
  }

  /**
   * Denies this node's own death.
   *
   * <p>News of a later incarnation is of another process that has taken the node's name; no denial
   * can settle that.
   */
  private static Turn ofSelf(MembershipState state, MemberUpdate update, long nowMillis) {
    boolean accused =
        !update.isAlive()
            && update.member().incarnation() == state.self().incarnation()
            && update.supersedes(state.own());
    if (!accused || state.stage() == MembershipState.Stage.LEAVING) {
      return Turn.of(state);
    }
    MembershipState denied = state.withRefutation(update.refutation() + 1);
    MemberUpdate own = denied.own();
    return Turn.of(
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
  static Turn answerTheDead(MembershipState state, NodeId from) {
    Option<MemberUpdate> dead =
        state.table().newest(from).filter(update -> update.status() == MemberStatus.DEAD);
    return Turn.of(state).withAll(dead.map(update -> send(update.member(), Vector.of(update))));
  }

  /** Passes on the news that waits, when it is due. */
  static Turn flush(MembershipState state, long nowMillis) {
    if (!state.flood().isDue(nowMillis)) {
      return Turn.of(state);
    }
    Vector<Flood.Item> items = state.flood().next();
    Turn turn = Turn.of(state.withFlood(state.flood().sent(nowMillis)));
    for (Member link : state.links().flatMap(state.table()::live)) {
      Vector<MemberUpdate> updates =
          items.reject(item -> item.from().contains(link.node())).map(Flood.Item::update);
      if (!updates.isEmpty()) {
        turn = turn.with(send(link, updates));
      }
    }
    return turn;
  }

  /** Compares another node's digest with this table, and sends what differs. */
  static Turn compare(MembershipState state, NodeId from, MembershipPeerMessage.Digest digest) {
    Option<Member> sender = state.table().newest(from).map(MemberUpdate::member);
    if (sender.isEmpty()) {
      return Turn.of(state);
    }
    Turn turn = Turn.of(state);
    Vector<MemberUpdate> differing = state.table().differing(digest.buckets());
    for (Vector<MemberUpdate> part : differing.grouped(MAX_UPDATES_PER_MESSAGE)) {
      turn = turn.with(send(sender.get(), part));
    }
    return digest.answerWanted()
        ? turn.with(new MembershipEffect.Send(sender.get(), digest(state, false)))
        : turn;
  }

  static MembershipPeerMessage.Digest digest(MembershipState state, boolean answerWanted) {
    return new MembershipPeerMessage.Digest(answerWanted, state.table().buckets());
  }

  static MembershipEffect send(Member to, Vector<MemberUpdate> updates) {
    return new MembershipEffect.Send(to, new MembershipPeerMessage.Updates(updates));
  }
}
