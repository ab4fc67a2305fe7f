package org.clementinepost.api;

/**
 * A host's health report on a backend server, based on the requests of all ingress nodes.
 *
 * <p>The host attaches it to each response, because a single ingress node sees too few responses of
 * a backend server to detect a failure quickly.
 */
public enum HostReport {
  /** No problem has been detected. */
  HEALTHY(0),
  /** Too many of its responses are failures. */
  FAILING(1),
  /** It is much slower than the other backend servers of its service. */
  SLOW(2),
  /** It has not responded to any request for some time. */
  SILENT(3),
  /** It is healthy and has had no request for a while. A response never carries this report. */
  IDLE(4);

  private final int number;

  HostReport(int number) {
    this.number = number;
  }

  /** Returns the number that represents this report on the wire. */
  public int number() {
    return number;
  }

  /** Whether a problem has been detected. */
  public boolean isUnhealthy() {
    return this == FAILING || this == SLOW || this == SILENT;
  }

  /** Returns the report with the given number, or {@link #HEALTHY} if the number is unknown. */
  public static HostReport ofNumber(int number) {
    for (HostReport report : values()) {
      if (report.number == number) {
        return report;
      }
    }
    return HEALTHY;
  }
}
