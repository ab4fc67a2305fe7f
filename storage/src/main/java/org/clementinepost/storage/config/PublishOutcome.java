package org.clementinepost.storage.config;

import io.vavr.collection.SortedSet;
import org.clementinepost.api.Failure;
import org.clementinepost.api.config.ObjectRef;
import org.clementinepost.api.config.Snapshot;

/** What became of a publication. */
public sealed interface PublishOutcome {
  /** The snapshot is the newest version now. */
  record Published(Snapshot snapshot, Publication publication) implements PublishOutcome {}

  /** The snapshot has the objects of the version before, so nothing was published. */
  record Unchanged(Snapshot snapshot) implements PublishOutcome {}

  /**
   * Somebody else has published since the base version; nothing was changed.
   *
   * @param baseVersion the version that the publication was made from
   * @param head the newest version
   * @param changedByOthers the objects that have changed between the two
   * @param changedHere the objects that this publication would have changed
   */
  record Conflict(
      long baseVersion,
      Snapshot head,
      SortedSet<ObjectRef> changedByOthers,
      SortedSet<ObjectRef> changedHere)
      implements PublishOutcome {
    /** The objects that both have changed. */
    public SortedSet<ObjectRef> changedByBoth() {
      return changedByOthers.intersect(changedHere);
    }
  }

  /** The publication failed, or nobody can tell whether it took effect. */
  record Failed(Failure failure) implements PublishOutcome {}
}
