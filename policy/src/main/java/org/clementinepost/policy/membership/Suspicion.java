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
 * @param askedMillis when others were asked last
 * @param asked the nodes that were asked
 * @param answers what they said: true when they reach the target
 * @param round counts the times that others were asked in vain
 */
record Suspicion(
    Member target, long askedMillis, Set<NodeId> asked, Map<NodeId, Boolean> answers, int round) {

  static Suspicion of(Member target, long nowMillis, Set<NodeId> asked, int round) {
    return new Suspicion(target, nowMillis, asked, HashMap.empty(), round);
  }

  Suspicion answered(NodeId witness, boolean alive) {
    return new Suspicion(target, askedMillis, asked, answers.put(witness, alive), round);
  }

  boolean reachedByAnother() {
    return answers.containsValue(true);
  }

  boolean allAnswered() {
    return asked.forAll(answers::containsKey);
  }
}
