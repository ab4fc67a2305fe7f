package org.clementinepost.policy.membership;

/**
 * When a node turns to the platform's table and to others without being asked.
 *
 * @param nextRegistrationMillis when its registration is due
 * @param nextSampleMillis when it looks for nodes in the table
 * @param nextAntiEntropyMillis when it compares its table with another node's
 * @param samplesWhileAlone counts the samples that brought nobody, for the backoff
 */
record Schedule(
    long nextRegistrationMillis,
    long nextSampleMillis,
    long nextAntiEntropyMillis,
    int samplesWhileAlone) {
  static final long NOT_SCHEDULED = Long.MAX_VALUE;

  Schedule withNextRegistration(long millis) {
    return new Schedule(millis, nextSampleMillis, nextAntiEntropyMillis, samplesWhileAlone);
  }

  Schedule withNextSample(long millis, int nextSamplesInVain) {
    return new Schedule(nextRegistrationMillis, millis, nextAntiEntropyMillis, nextSamplesInVain);
  }

  Schedule withNextAntiEntropy(long millis) {
    return new Schedule(nextRegistrationMillis, nextSampleMillis, millis, samplesWhileAlone);
  }
}
