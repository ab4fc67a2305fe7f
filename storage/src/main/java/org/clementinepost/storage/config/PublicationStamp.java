package org.clementinepost.storage.config;

import java.util.UUID;

/**
 * Operator, time and purpose of a publication.
 *
 * @param publicationId the unique id of the publication
 * @param operator the name of the operator who publishes
 * @param publishedAtMillis the time on the operator's clock, in ms since the epoch
 * @param note the purpose of the publication
 */
public record PublicationStamp(
    String publicationId, String operator, long publishedAtMillis, String note) {

  /** Returns a stamp with a new random publication id. */
  public static PublicationStamp of(String operator, long publishedAtMillis, String note) {
    return new PublicationStamp(UUID.randomUUID().toString(), operator, publishedAtMillis, note);
  }
}
