package org.clementinepost.policy.membership;

/**
 * When a node next takes the actions that no message or link event triggers.
 *
 * @param nextRegistrationMillis when it next writes its registration
 * @param nextSampleMillis when it next samples the registrations
 * @param nextAntiEntropyMillis when it next exchanges digests with another node
 * @param samplesWhileAlone the samples in a row after which the node knew no other node, for the
 *     backoff
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

  Schedule withNextSample(long millis, int nextSamplesWhileAlone) {
    return new Schedule(
        nextRegistrationMillis, millis, nextAntiEntropyMillis, nextSamplesWhileAlone);
  }

  Schedule withNextAntiEntropy(long millis) {
    return new Schedule(nextRegistrationMillis, nextSampleMillis, millis, samplesWhileAlone);
  }
}
