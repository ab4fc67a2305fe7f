package org.clementinepost.policy.routing;

/**
 * What one request tells of the backend server or the path that carried it.
 *
 * @param failing whether it failed in a way that its caller has not caused
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
