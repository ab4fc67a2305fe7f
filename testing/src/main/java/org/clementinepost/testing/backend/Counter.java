package org.clementinepost.testing.backend;

/** A counter of the backend server stand-in. */
public enum Counter {
  /** Requests started. */
  TOTAL_RUNS,
  /** Requests started after draining was announced. */
  RUNS_WHILE_DRAINING,
  /** Requests rejected because no slot was free or the server was gone. */
  SHED,
  /** Requests rejected because fewer slots are available during a cold start. */
  COLD_SHED,
  /** Requests whose connection was closed before the response. */
  CANCELLED,
  /** Requests abandoned at their deadline. */
  DEADLINES_PASSED
}
