package org.clementinepost.api;

/**
 * What a host has seen of a backend server in the requests of all ingress nodes.
 *
 * <p>It goes along with each answer: an ingress node alone sees too few of a server's answers to
 * judge soon.
 */
public enum HostReport {
  /** Nothing speaks against the backend server. */
  HEALTHY(0),
  /** Too many of its answers fail. */
  FAILING(1),
  /** It is far slower than its service. */
  SLOW(2);

  private final int number;

  HostReport(int number) {
    this.number = number;
  }

  /** The number that stands for it between nodes. */
  public int number() {
    return number;
  }

  /** Finds the report with a number; one that is not known says nothing. */
  public static HostReport ofNumber(int number) {
    for (HostReport report : values()) {
      if (report.number == number) {
        return report;
      }
    }
    return HEALTHY;
  }
}
