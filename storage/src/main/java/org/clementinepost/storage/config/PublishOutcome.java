package org.clementinepost.storage.config;

import io.vavr.collection.SortedSet;
import org.clementinepost.api.Failure;
import org.clementinepost.api.config.ObjectRef;
import org.clementinepost.api.config.Snapshot;

/** Outcome of an attempt to publish a snapshot. */
public sealed interface PublishOutcome {
  /** The snapshot has been published as the newest version. */
  record Published(Snapshot snapshot, Publication publication) implements PublishOutcome {}

  /** The snapshot has the same objects as its base version, so nothing was published. */
  record Unchanged(Snapshot snapshot) implements PublishOutcome {}

  /**
   * Another operator has published since the base version; nothing was changed.
   *
   * @param baseVersion the version that the publication was based on
   * @param head the newest version
   * @param changedByOthers the objects that have changed between the base version and the newest
   *     version
   * @param changedHere the objects that this publication would have changed
   */
  record Conflict(
      long baseVersion,
      Snapshot head,
      SortedSet<ObjectRef> changedByOthers,
      SortedSet<ObjectRef> changedHere)
      implements PublishOutcome {
    /** Returns the objects that both publications change. */
    public SortedSet<ObjectRef> changedByBoth() {
      return changedByOthers.intersect(changedHere);
    }
  }

  /** The publication failed, or it is uncertain whether it took effect. */
  record Failed(Failure failure) implements PublishOutcome {}
}
