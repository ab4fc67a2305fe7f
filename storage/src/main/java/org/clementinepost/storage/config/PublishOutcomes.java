package org.clementinepost.storage.config;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.Snapshot;

/** Reads the outcome of a publication as a snapshot or a failure. */
public final class PublishOutcomes {
  private PublishOutcomes() {}

  /** The newest snapshot when the publication stands, or why it does not. */
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
