package org.clementinepost.policy.membership;

/**
 * When a node turns to the platform's table and to others without being asked.
 *
 * @param registerMillis when its registration is due
 * @param sampleMillis when it looks for nodes in the table
 * @param compareMillis when it compares its table with another node's
 * @param samplesInVain counts the samples that brought nobody, for the backoff
 */
record Schedule(long registerMillis, long sampleMillis, long compareMillis, int samplesInVain) {
  static final long NOT_YET = Long.MAX_VALUE;

  Schedule registerAt(long millis) {
    return new Schedule(millis, sampleMillis, compareMillis, samplesInVain);
  }

  Schedule sampleAt(long millis, int nextSamplesInVain) {
    return new Schedule(registerMillis, millis, compareMillis, nextSamplesInVain);
  }

  Schedule compareAt(long millis) {
    return new Schedule(registerMillis, sampleMillis, millis, samplesInVain);
  }
}
