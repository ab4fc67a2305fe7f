package org.clementinepost.ctl;

import org.clementinepost.api.ResultCode;
import org.clementinepost.storage.config.PublishOutcome;

/** Reports the outcome of a publication. */
final class PublishReport {
  private static final String VERSION = "version";

  private PublishReport() {}

  static Outcome.Builder of(PublishOutcome outcome) {
    if (outcome instanceof PublishOutcome.Published published) {
      return Outcome.builder(ResultCode.OK)
          .field(VERSION, published.snapshot().version())
          .field("publicationId", published.publication().stamp().publicationId())
          .line("published version " + published.snapshot().version());
    }
    if (outcome instanceof PublishOutcome.Unchanged unchanged) {
      return Outcome.builder(ResultCode.OK)
          .field(VERSION, unchanged.snapshot().version())
          .line("no changes to version " + unchanged.snapshot().version());
    }
    if (outcome instanceof PublishOutcome.Conflict conflict) {
      return of(conflict);
    }
    PublishOutcome.Failed failed = (PublishOutcome.Failed) outcome;
    return Outcome.builder(failed.failure().code())
        .field("detail", failed.failure().detail())
        .line(failed.failure().detail());
  }

  private static Outcome.Builder of(PublishOutcome.Conflict conflict) {
    return Outcome.builder(ResultCode.PUBLISH_CONFLICT)
        .field(VERSION, conflict.head().version())
        .field("base", conflict.baseVersion())
        .texts("changedByOthers", conflict.changedByOthers().iterator())
        .texts("changedHere", conflict.changedHere().iterator())
        .texts("changedByBoth", conflict.changedByBoth().iterator())
        .line(
            "based on version "
                + conflict.baseVersion()
                + ", but version "
                + conflict.head().version()
                + " is in force")
        .line("changed by others: " + conflict.changedByOthers().mkString(", "))
        .line("changed here: " + conflict.changedHere().mkString(", "))
        .line("changed by both: " + conflict.changedByBoth().mkString(", "))
        .line("nothing was published; run pull to apply their changes, then publish again");
  }
}
