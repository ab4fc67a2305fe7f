package org.clementinepost.policy.stop;

/** A part of a node that may have work of others in hand. */
public enum StopPart {
  /** Callers' connections with a request that has no whole answer yet. */
  CALLERS("callers"),
  /** Requests of other nodes whose answers these do not have yet. */
  STREAMS("streams"),
  /** Requests that a backend server of this VM is running. */
  ADMISSIONS("admissions");

  private final String label;

  StopPart(String label) {
    this.label = label;
  }

  /** The part's name in logs and metrics. */
  public String label() {
    return label;
  }
}
