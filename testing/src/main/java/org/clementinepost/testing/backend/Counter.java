package org.clementinepost.testing.backend;

/** What a backend server's stand-in counts. */
public enum Counter {
  /** Requests begun. */
  TOTAL_RUNS,
  /** Requests begun after draining was announced. */
  RUNS_WHILE_DRAINING,
  /** Requests refused because no slot was free. */
  SHED,
  /** Requests refused because the cold start bears fewer. */
  COLD_SHED,
  /** Requests whose connection closed before the answer. */
  CANCELLED,
  /** Requests given up at their deadline. */
  DEADLINES_PASSED
}
