package org.clementinepost.testing.backend;

/** How the stand-in handles one request. */
sealed interface Admission {
  /**
   * The request is rejected before it runs.
   *
   * @param cold whether the slots were limited by a cold start
   */
  record Shed(boolean cold) implements Admission {}

  /** The request takes a slot and is never answered. */
  record Hang() implements Admission {}

  /**
   * The request runs.
   *
   * @param delayMillis the time until the response
   * @param status the HTTP status of the response
   * @param totalRuns the number of requests started so far, including this one
   */
  record Run(long delayMillis, int status, long totalRuns) implements Admission {}
}
