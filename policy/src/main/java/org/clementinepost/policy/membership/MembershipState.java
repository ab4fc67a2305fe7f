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
 * What a node knows about the fleet.
 *
 * @param self this node
 * @param refutation how many times this node has refuted its own death
 * @param stage whether this node is joining, joined or leaving
 * @param table the latest update about each node, including this one
 * @param gossipQueue the updates to be sent to the linked nodes
 * @param suspicions the monitored nodes that this node no longer hears from
 * @param unreachable live nodes that this node cannot reach but has not declared dead
 * @param links the nodes to keep links to
 * @param view the state of the view that is published to the other services of this node
 * @param schedule when this node next registers, samples registrations and runs anti-entropy
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

  /** The stage of a node in the fleet. */
  public enum Stage {
    /** The node has not compared its table with another node's; the table is not reliable. */
    JOINING,
    /** The node has compared its table with another node's. */
    JOINED,
    /** The node has announced that it is stopping. */
    LEAVING
  }

  /** When the view was last published, and whether it is out of date. */
  record View(long publishedMillis, boolean stale) {}

  /**
   * Returns the state of a node that has just started; its registration and anti-entropy are due at
   * once.
   */
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

  /** Returns the state of a node that starts with a complete member table. */
  public static MembershipState joined(Member self, MemberTable known, long nowMillis) {
    MembershipState fresh = of(self, nowMillis);
    return fresh
        .withTable(known.withUpdate(MemberUpdate.alive(self, 0), nowMillis))
        .withStage(Stage.JOINED)
        .withStaleView();
  }

  /** Returns this node's update about itself. */
  MemberUpdate selfUpdate() {
    MemberStatus status = stage == Stage.LEAVING ? MemberStatus.LEFT : MemberStatus.ALIVE;
    return new MemberUpdate(self, refutation, status);
  }

  /** Returns the other live nodes, without those that this node cannot reach. */
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
    boolean unchanged = next.equals(unreachable);
    MembershipState changed =
        new MembershipState(
            self, refutation, stage, table, gossipQueue, suspicions, next, links, view, schedule);
    return unchanged ? this : changed.withStaleView();
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
