package org.clementinepost.policy.floor;

/**
 * A phase in which the first servers of each failure domain work more slowly.
 *
 * @param serverFraction the fraction of the servers that are slow
 * @param workRatio how many times as long a slow server works on a request
 * @param fromMillis when the phase begins, from the start of the simulation
 * @param untilMillis when the phase ends, from the start of the simulation
 */
record SlowPhase(double serverFraction, double workRatio, long fromMillis, long untilMillis) {
  static final SlowPhase NONE = new SlowPhase(0, 1, 0, 0);
}
