package org.clementinepost.storage.config;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.config.Snapshot;

/** Change that can be applied to any version of the configuration, or fails with a reason. */
@FunctionalInterface
public interface ConfigurationEdit {
  /** Applies the change; returns the same snapshot if it needs no change. */
  Either<Failure, Snapshot> apply(Snapshot snapshot);
}
