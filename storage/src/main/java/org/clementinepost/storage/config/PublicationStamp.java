package org.clementinepost.storage.config;

import java.util.UUID;

/**
 * Who publishes, when and why.
 *
 * @param publicationId tells this publication apart from every other one
 * @param operator who publishes
 * @param publishedAtMillis the time by the operator's clock, since the epoch
 * @param note what the publication is for
 */
public record PublicationStamp(
    String publicationId, String operator, long publishedAtMillis, String note) {

  /** A stamp with a publication id of its own. */
  public static PublicationStamp of(String operator, long publishedAtMillis, String note) {
    return new PublicationStamp(UUID.randomUUID().toString(), operator, publishedAtMillis, note);
  }
}
