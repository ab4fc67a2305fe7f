package org.clementinepost.testing.backend;

/** How a backend server meets one request. */
sealed interface Admission {
  /** It refuses the request before it has run. */
  record Shed(boolean cold) implements Admission {}

  /** It takes the request and never answers. */
  record Hang() implements Admission {}

  /**
   * It runs the request.
   *
   * @param delayMillis how long it takes
   * @param status the status of its answer
   * @param totalRuns the requests begun so far, with this one
   */
  record Run(long delayMillis, int status, long totalRuns) implements Admission {}
}
