package org.clementinepost.policy.quota;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;

/**
 * What a node knows of tenures, its own and others'.
 *
 * @param registration its own tenure
 * @param owned the partitions that it is the home of
 * @param claims the partitions that it has looked up or tries to become the home of
 * @param endings the tenures of others that it is ending or has ended
 * @param fences the ends of tenures that it knows of as a witness, with the time it was told
 * @param members the fleet, this node among it
 * @param startedNanos when the node started
 * @param stopping whether it gives its partitions back
 */
public record TenureState(
    Registration registration,
    Map<Integer, Owned> owned,
    Map<Integer, Claim> claims,
    Map<NodeTenure.Ref, Ending> endings,
    Map<NodeTenure.Ref, Long> fences,
    Vector<Member> members,
    long startedNanos,
    boolean stopping) {

  /** A partition that this node is the home of. */
  record Owned(Tenures.Tenure tenure, PartitionTenure item, long version) {}

  /** How far the look-up of a partition has come. */
  enum Phase {
    READING,
    WRITING,
    FOREIGN,
    ENDING
  }

  /**
   * The look-up of a partition.
   *
   * @param phase how far it has come
   * @param sinceNanos since when
   * @param home the tenure that the table names
   * @param drains whether grants of the tenure before may still be spent
   */
  record Claim(Phase phase, long sinceNanos, Option<NodeTenure.Ref> home, boolean drains) {}

  /** The state of a node that has just started. */
  public static TenureState starting(long incarnation, long nowNanos) {
    return new TenureState(
        Registration.none(incarnation, nowNanos),
        HashMap.empty(),
        HashMap.empty(),
        HashMap.empty(),
        HashMap.empty(),
        Vector.empty(),
        nowNanos,
        false);
  }

  /** What this node may grant. */
  public Tenures tenures() {
    return new Tenures(owned.mapValues(Owned::tenure), registration.validUntilNanos());
  }

  /** The node that the table named as a partition's home when it was last looked up. */
  public Option<NodeId> foreignHome(int partition) {
    return claims
        .get(partition)
        .filter(claim -> claim.phase() == Phase.FOREIGN)
        .flatMap(Claim::home)
        .map(NodeTenure.Ref::node);
  }

  Vector<NodeId> memberIds() {
    return members.map(Member::node);
  }

  TenureState with(Registration next) {
    return new TenureState(next, owned, claims, endings, fences, members, startedNanos, stopping);
  }

  TenureState withOwned(Map<Integer, Owned> next) {
    return new TenureState(
        registration, next, claims, endings, fences, members, startedNanos, stopping);
  }

  TenureState withClaims(Map<Integer, Claim> next) {
    return new TenureState(
        registration, owned, next, endings, fences, members, startedNanos, stopping);
  }

  TenureState withEndings(Map<NodeTenure.Ref, Ending> next) {
    return new TenureState(
        registration, owned, claims, next, fences, members, startedNanos, stopping);
  }

  TenureState withFences(Map<NodeTenure.Ref, Long> next) {
    return new TenureState(
        registration, owned, claims, endings, next, members, startedNanos, stopping);
  }

  TenureState withMembers(Vector<Member> next) {
    return new TenureState(
        registration, owned, claims, endings, fences, next, startedNanos, stopping);
  }

  TenureState whileStopping() {
    return new TenureState(
        registration, owned, claims, endings, fences, members, startedNanos, true);
  }
}
