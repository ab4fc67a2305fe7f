package org.clementinepost.node;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.nio.file.Path;
import org.clementinepost.api.Failure;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.storage.InMemoryPlatform;
import org.clementinepost.storage.Platform;
import org.clementinepost.storage.config.ConfigurationStore;
import org.clementinepost.storage.config.check.ConfigurationChecker;
import org.clementinepost.storage.config.source.ConfigurationFolder;
import org.clementinepost.storage.config.source.Finding;

/** Creates an in-memory platform for a single node that uses no external platform. */
final class EmbeddedPlatform {
  private static final long FIRST_VERSION = 1;
  private static final String PUBLICATION_ID = "embedded";

  private EmbeddedPlatform() {}

  /** Returns a platform without any published configuration. */
  static Platform empty() {
    return InMemoryPlatform.create();
  }

  /**
   * Returns a platform on which the objects of a folder are published, or the errors that the
   * configuration check found in them.
   */
  static Either<Vector<Finding>, Platform> fromFolder(Path folder) {
    return ConfigurationChecker.check(ConfigurationFolder.read(folder))
        .map(EmbeddedPlatform::publish);
  }

  private static Platform publish(Snapshot snapshot) {
    Platform platform = InMemoryPlatform.create();
    Either<Failure, Snapshot> published =
        new ConfigurationStore(platform)
            .publish(snapshot.withVersion(FIRST_VERSION), PUBLICATION_ID)
            .block();
    if (published.isLeft()) {
      throw new IllegalStateException(
          "publishing to the in-memory platform failed: " + published.getLeft());
    }
    return platform;
  }
}
