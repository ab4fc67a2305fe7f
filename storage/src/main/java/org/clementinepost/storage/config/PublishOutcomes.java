package org.clementinepost.storage.config;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.Snapshot;

/** Converts the outcome of a publication to a snapshot or a failure. */
public final class PublishOutcomes {
  private PublishOutcomes() {}

  /**
   * Returns the newest snapshot if it has the objects of the publication, and the failure
   * otherwise.
   */
  public static Either<Failure, Snapshot> toSnapshot(PublishOutcome outcome) {
    if (outcome instanceof PublishOutcome.Published published) {
      return Either.right(published.snapshot());
    }
    if (outcome instanceof PublishOutcome.Unchanged unchanged) {
      return Either.right(unchanged.snapshot());
    }
    if (outcome instanceof PublishOutcome.Conflict conflict) {
      return Either.left(
          Failure.of(
              ResultCode.PUBLISH_CONFLICT,
              "version "
                  + conflict.head().version()
                  + " differs in "
                  + conflict.changedByOthers()));
    }
    return Either.left(((PublishOutcome.Failed) outcome).failure());
  }
}
