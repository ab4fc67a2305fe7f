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

/** Makes the platform in memory of a single node that needs nothing else. */
final class EmbeddedPlatform {
  private static final long FIRST_VERSION = 1;
  private static final String PUBLICATION_ID = "embedded";

  private EmbeddedPlatform() {}

  /** A platform on which nothing was published. */
  static Platform empty() {
    return InMemoryPlatform.create();
  }

  /** A platform on which a folder's objects were published, or what is wrong with them. */
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
      throw new IllegalStateException("a platform in memory refused: " + published.getLeft());
    }
    return platform;
  }
}
