package org.clementinepost.storage.config;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.config.Snapshot;

/** A change that can be made to any version, or says why it cannot. */
@FunctionalInterface
public interface ConfigurationEdit {
  /** Makes the change; a snapshot that needs none is given back as it is. */
  Either<Failure, Snapshot> apply(Snapshot snapshot);
}
