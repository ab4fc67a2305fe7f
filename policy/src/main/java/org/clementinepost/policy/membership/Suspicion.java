package org.clementinepost.policy.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;

/**
 * A node that this one no longer hears, and what others say of it.
 *
 * @param target the node
 * @param requestedMillis when others were asked last
 * @param probers the nodes that were asked
 * @param results what they said: true when they reach the target
 * @param round counts the times that others were asked in vain
 */
record Suspicion(
    Member target,
    long requestedMillis,
    Set<NodeId> probers,
    Map<NodeId, Boolean> results,
    int round) {

  static Suspicion of(Member target, long nowMillis, Set<NodeId> asked, int round) {
    return new Suspicion(target, nowMillis, asked, HashMap.empty(), round);
  }

  Suspicion withResult(NodeId witness, boolean alive) {
    return new Suspicion(target, requestedMillis, probers, results.put(witness, alive), round);
  }

  boolean isReachedByProber() {
    return results.containsValue(true);
  }

  boolean hasAllResults() {
    return probers.forAll(results::containsKey);
  }
}
