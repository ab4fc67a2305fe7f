package org.clementinepost.policy.routing;

import io.vavr.control.Option;

/**
 * The outcome of one request for outlier detection, at a backend server or on the path to it.
 *
 * @param failing whether it failed for a reason other than its caller
 * @param slow whether it took far longer than is typical of the service
 * @param slowNats what it adds to the evidence of slowness, in nats; none if that follows from the
 *     normal fraction of slow outcomes
 */
record Outcome(boolean failing, boolean slow, Option<Double> slowNats) {
  static final Outcome GOOD = new Outcome(false, false, Option.none());
  static final Outcome FAILING = new Outcome(true, false, Option.none());
  static final Outcome SLOW = new Outcome(false, true, Option.none());

  /** Returns the outcome of a run that has not ended but takes long. */
  static Outcome ofRunning(double nats) {
    return new Outcome(false, true, Option.some(nats));
  }

  boolean isGood() {
    return !failing && !slow;
  }

  Outcome plusNats(double nats) {
    return new Outcome(failing, slow, slowNats.map(before -> before + nats));
  }
}
