package org.clementinepost.policy.host;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;

/**
 * The protocol by which backend servers announce themselves to the node on their VM.
 *
 * @param reader decodes an announcement
 * @param acknowledgementStatus the HTTP status of the response to a valid announcement
 * @param acknowledgement the body of that response
 * @param healthResponseReader decodes the response to a health check as an announcement; none if
 *     the response carries nothing but the health
 */
public record AnnouncementProtocol(
    Reader reader,
    int acknowledgementStatus,
    String acknowledgement,
    Option<HealthResponseReader> healthResponseReader) {
  /** Decodes an announcement. */
  @FunctionalInterface
  public interface Reader {
    /**
     * Decodes an announcement.
     *
     * @param uri the path and query of the request that carries it
     * @param body the body of that request
     */
    Either<Failure, Announcement> read(String uri, byte[] body);
  }
}
