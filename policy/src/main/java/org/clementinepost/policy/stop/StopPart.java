package org.clementinepost.policy.stop;

/** A part of a node that may have requests in flight. */
public enum StopPart {
  /** Callers' connections with a request whose response is not complete. */
  CALLERS("callers"),
  /** Requests from other nodes that have not received the response yet. */
  STREAMS("streams"),
  /** Requests that a backend server of this VM is running. */
  ADMISSIONS("admissions");

  private final String label;

  StopPart(String label) {
    this.label = label;
  }

  /** Returns the name of the part in logs and metrics. */
  public String label() {
    return label;
  }
}
