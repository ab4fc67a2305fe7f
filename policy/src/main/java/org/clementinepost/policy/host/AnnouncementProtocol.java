package org.clementinepost.policy.host;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;

/**
 * How backend servers announce themselves.
 *
 * @param reader reads an announcement
 * @param acknowledgementStatus the HTTP status of an acknowledgement
 * @param acknowledgement its body
 * @param healthResponseReader reads an answer about health; none where nothing more than health is
 *     told
 */
public record AnnouncementProtocol(
    Reader reader,
    int acknowledgementStatus,
    String acknowledgement,
    Option<HealthResponseReader> healthResponseReader) {
  /** Reads an announcement. */
  @FunctionalInterface
  public interface Reader {
    /**
     * Reads an announcement.
     *
     * @param uri the path and query that it was sent to
     * @param body its body
     */
    Either<Failure, Announcement> read(String uri, byte[] body);
  }
}
