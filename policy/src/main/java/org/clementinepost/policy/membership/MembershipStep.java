package org.clementinepost.policy.membership;

import org.clementinepost.kernel.Step;

/** Begins the steps that the parts of the membership decision add to. */
final class MembershipStep {
  private MembershipStep() {}

  static Step<MembershipState, MembershipEffect> of(MembershipState state) {
    return Step.to(state);
  }
}
