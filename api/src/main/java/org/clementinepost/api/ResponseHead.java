package org.clementinepost.api;

import io.vavr.collection.Vector;

/**
 * The head of a backend server's answer.
 *
 * @param status the HTTP status
 * @param headers the end-to-end header fields
 * @param server the backend server that answered
 * @param serverMicros the time that the backend server took to answer, without queue and network
 * @param report what the host has seen of the backend server of late
 */
public record ResponseHead(
    int status,
    Vector<HeaderField> headers,
    BackendServerId server,
    long serverMicros,
    HostReport report) {

  /** A head before the host has added its report. */
  public ResponseHead(
      int status, Vector<HeaderField> headers, BackendServerId server, long serverMicros) {
    this(status, headers, server, serverMicros, HostReport.HEALTHY);
  }

  /** The same head with the host's report. */
  public ResponseHead withReport(HostReport next) {
    return new ResponseHead(status, headers, server, serverMicros, next);
  }
}
