package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import java.util.function.Function;
import org.clementinepost.kernel.Step;

/** A step of the membership decision that several policies add to. */
record Turn(MembershipState state, Vector<MembershipEffect> effects) {
  static Turn of(MembershipState state) {
    return new Turn(state, Vector.empty());
  }

  /** Goes on from the state reached; effects stay in order. */
  Turn then(Function<MembershipState, Turn> next) {
    Turn after = next.apply(state);
    return new Turn(after.state, effects.appendAll(after.effects));
  }

  Turn with(MembershipEffect effect) {
    return new Turn(state, effects.append(effect));
  }

  Turn withAll(Iterable<? extends MembershipEffect> more) {
    return new Turn(state, effects.appendAll(more));
  }

  Step<MembershipState, MembershipEffect> step() {
    return Step.to(state, effects);
  }
}
