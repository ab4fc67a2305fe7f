package org.clementinepost.policy.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;

/**
 * A monitored node that this node no longer hears from, with the results of indirect probes.
 *
 * @param target the suspected node
 * @param requestedMillis when indirect probes were last requested
 * @param probers the nodes that were asked to probe the target
 * @param results the results by prober: true if the prober reached the target
 * @param round the number of earlier rounds of indirect probes without a decision
 */
record Suspicion(
    Member target,
    long requestedMillis,
    Set<NodeId> probers,
    Map<NodeId, Boolean> results,
    int round) {

  static Suspicion of(Member target, long nowMillis, Set<NodeId> probers, int round) {
    return new Suspicion(target, nowMillis, probers, HashMap.empty(), round);
  }

  Suspicion withResult(NodeId prober, boolean reachable) {
    return new Suspicion(target, requestedMillis, probers, results.put(prober, reachable), round);
  }

  boolean isReachedByProber() {
    return results.containsValue(true);
  }

  boolean hasAllResults() {
    return probers.forAll(results::containsKey);
  }
}
