package org.clementinepost.policy.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MemberStatus;
import org.clementinepost.api.peer.MemberUpdate;

/**
 * What a node knows of the fleet.
 *
 * @param self this node
 * @param refutation counts the times that this node has denied its own death
 * @param stage how far this node takes part
 * @param table the newest news of each node, this one among them
 * @param gossipQueue the news to be passed on
 * @param suspicions the nodes that this one no longer hears
 * @param unreachable live nodes that this one alone cannot reach
 * @param links the nodes that links are kept to
 * @param view what the other services were told last
 * @param schedule when to step to the table and to others
 */
public record MembershipState(
    Member self,
    int refutation,
    Stage stage,
    MemberTable table,
    GossipQueue gossipQueue,
    Map<NodeId, Suspicion> suspicions,
    Set<NodeId> unreachable,
    Vector<NodeId> links,
    View view,
    Schedule schedule) {

  /** How far a node takes part. */
  public enum Stage {
    /** It has not met the fleet; its table is not to be relied on. */
    JOINING,
    /** It has compared its table with another node's. */
    JOINED,
    /** It has said that it stops. */
    LEAVING
  }

  /** What the other services were told, and whether that is out of date. */
  record View(long publishedMillis, boolean stale) {}

  /** The state of a node that has just started; its times are due at once. */
  public static MembershipState of(Member self, long nowMillis) {
    return new MembershipState(
        self,
        0,
        Stage.JOINING,
        MemberTable.empty().withUpdate(MemberUpdate.alive(self, 0), nowMillis),
        GossipQueue.empty(),
        HashMap.empty(),
        HashSet.empty(),
        Vector.empty(),
        new View(nowMillis, false),
        new Schedule(nowMillis, Schedule.NOT_SCHEDULED, nowMillis, 0));
  }

  /** The state of a node that starts with the knowledge of a whole fleet. */
  public static MembershipState joined(Member self, MemberTable known, long nowMillis) {
    MembershipState fresh = of(self, nowMillis);
    return fresh
        .withTable(known.withUpdate(MemberUpdate.alive(self, 0), nowMillis))
        .withStage(Stage.JOINED)
        .withStaleView();
  }

  /** What this node says of itself. */
  MemberUpdate selfUpdate() {
    MemberStatus status = stage == Stage.LEAVING ? MemberStatus.LEFT : MemberStatus.ALIVE;
    return new MemberUpdate(self, refutation, status);
  }

  /** The other live nodes that this one can reach, as far as it knows. */
  public Vector<Member> reachableOthers() {
    return table
        .ring()
        .nodes()
        .filter(node -> !node.equals(self.node()) && !unreachable.contains(node))
        .flatMap(table::liveMember);
  }

  boolean isAlone() {
    return table.ring().size() <= 1;
  }

  MembershipState withRefutation(int next) {
    return new MembershipState(
        self, next, stage, table, gossipQueue, suspicions, unreachable, links, view, schedule);
  }

  MembershipState withStage(Stage next) {
    return new MembershipState(
        self, refutation, next, table, gossipQueue, suspicions, unreachable, links, view, schedule);
  }

  MembershipState withTable(MemberTable next) {
    return new MembershipState(
        self, refutation, stage, next, gossipQueue, suspicions, unreachable, links, view, schedule);
  }

  MembershipState withGossipQueue(GossipQueue next) {
    return new MembershipState(
        self, refutation, stage, table, next, suspicions, unreachable, links, view, schedule);
  }

  MembershipState withSuspicion(Suspicion next) {
    return withSuspicions(suspicions.put(next.target().node(), next));
  }

  MembershipState withSuspicions(Map<NodeId, Suspicion> next) {
    return new MembershipState(
        self, refutation, stage, table, gossipQueue, next, unreachable, links, view, schedule);
  }

  MembershipState withUnreachable(Set<NodeId> next) {
    boolean same = next.equals(unreachable);
    MembershipState changed =
        new MembershipState(
            self, refutation, stage, table, gossipQueue, suspicions, next, links, view, schedule);
    return same ? this : changed.withStaleView();
  }

  MembershipState withLinks(Vector<NodeId> next) {
    return new MembershipState(
        self, refutation, stage, table, gossipQueue, suspicions, unreachable, next, view, schedule);
  }

  MembershipState withView(View next) {
    return new MembershipState(
        self,
        refutation,
        stage,
        table,
        gossipQueue,
        suspicions,
        unreachable,
        links,
        next,
        schedule);
  }

  MembershipState withStaleView() {
    return withView(new View(view.publishedMillis(), true));
  }

  MembershipState withSchedule(Schedule next) {
    return new MembershipState(
        self, refutation, stage, table, gossipQueue, suspicions, unreachable, links, view, next);
  }
}
