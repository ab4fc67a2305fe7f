package org.clementinepost.ctl;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.clementinepost.api.Failure;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.platform.HttpPlatform;
import org.clementinepost.platform.PlatformSettings;
import org.clementinepost.platform.config.ConfigurationStore;
import org.clementinepost.platform.config.SnapshotJson;

/** The binary {@code clementinectl}. */
public final class CtlMain {
  private CtlMain() {}

  /** Publishes a snapshot file: {@code publish PLATFORM-URL FILE}. */
  public static void main(String[] arguments) throws IOException {
    HttpPlatform platform = HttpPlatform.of(PlatformSettings.builder().url(arguments[1]).build());
    ConfigurationStore store = new ConfigurationStore(platform.platform());
    Snapshot snapshot =
        SnapshotJson.read(Files.readAllBytes(Path.of(arguments[2])))
            .getOrElseThrow(failure -> new IllegalArgumentException(failure.detail()));
    Either<Failure, Snapshot> published = store.publish(snapshot, "by-hand").block();
    System.out.println(published);
  }
}
