package org.clementinepost.policy.routing;

/**
 * The outcome of one request for outlier detection, at a backend server or on the path to it.
 *
 * @param failing whether it failed for a reason other than its caller
 * @param slow whether it took far longer than is typical of the service
 */
record Outcome(boolean failing, boolean slow) {
  static final Outcome GOOD = new Outcome(false, false);
  static final Outcome FAILING = new Outcome(true, false);
  static final Outcome SLOW = new Outcome(false, true);

  boolean isGood() {
    return !failing && !slow;
  }
}
