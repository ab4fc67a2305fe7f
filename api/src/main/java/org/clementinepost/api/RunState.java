package org.clementinepost.api;

/**
 * Whether a backend server ran a request.
 *
 * <p>A request whose outcome is unknown has a state of its own: if it were reported as not run, the
 * caller might send it again although it ran.
 */
public enum RunState {
  NOT_RUN("not-run"),
  RAN("ran"),
  UNKNOWN("unknown");

  private final String label;

  RunState(String label) {
    this.label = label;
  }

  /** Returns the label used in responses, logs and reports. */
  public String label() {
    return label;
  }
}
