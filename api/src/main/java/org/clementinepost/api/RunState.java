package org.clementinepost.api;

/**
 * Whether a backend server has run a request.
 *
 * <p>Three states rather than two: a request whose fate cannot be known is never reported as not
 * run, since a caller would send it again.
 */
public enum RunState {
  NOT_RUN("not-run"),
  RAN("ran"),
  UNKNOWN("unknown");

  private final String label;

  RunState(String label) {
    this.label = label;
  }

  /** The word used in answers, logs and reports. */
  public String label() {
    return label;
  }
}
