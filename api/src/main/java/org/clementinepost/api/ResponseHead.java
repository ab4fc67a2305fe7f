package org.clementinepost.api;

import io.vavr.collection.Vector;

/**
 * The head of a backend server's response.
 *
 * @param status the HTTP status
 * @param headers the end-to-end header fields
 * @param server the backend server that responded
 * @param serverMicros the response time of the backend server, without time in queues and on the
 *     network between nodes
 * @param report the host's current health report on the backend server
 */
public record ResponseHead(
    int status,
    Vector<HeaderField> headers,
    BackendServerId server,
    long serverMicros,
    HostReport report) {

  private static final int FIRST_FINAL_STATUS = 200;
  private static final int LAST_FINAL_STATUS = 599;

  /** Creates a head without a health report. */
  public ResponseHead(
      int status, Vector<HeaderField> headers, BackendServerId server, long serverMicros) {
    this(status, headers, server, serverMicros, HostReport.HEALTHY);
  }

  /** Whether the status is one that a final response may have; it excludes interim responses. */
  public boolean hasFinalStatus() {
    return status >= FIRST_FINAL_STATUS && status <= LAST_FINAL_STATUS;
  }

  /** Returns this head with the host's health report. */
  public ResponseHead withReport(HostReport next) {
    return new ResponseHead(status, headers, server, serverMicros, next);
  }
}
