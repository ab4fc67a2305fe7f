package org.clementinepost.policy.membership;

import org.clementinepost.kernel.Step;

/** Creates the initial steps of the membership decision. */
final class MembershipStep {
  private MembershipStep() {}

  static Step<MembershipState, MembershipEffect> of(MembershipState state) {
    return Step.to(state);
  }
}
