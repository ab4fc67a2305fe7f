package org.clementinepost.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that only the module {@code platform} contains the names and paths of the platform. */
final class PlatformNamesTest {
  private static final List<String> OTHER_MODULES =
      List.of("api", "kernel", "policy", "wire", "storage", "node", "ctl", "benchmarks");
  private static final Vector<String> NAMES =
      Vector.of(
          "Attempt-Id",
          "Deadline-Ms",
          "Server-Stamp",
          "Tenant-Id",
          "Expect-Instance",
          "Instance-Load",
          "Not-Executed",
          "Caller-Service",
          "Instance-Id",
          "Cold-Remaining-Ms",
          "/-/",
          "instances.heartbeat",
          "instances.deregister",
          "weightedServices",
          "targetLatencyMs",
          "authExempt",
          "apiKeys",
          "\"ratePerS\"",
          "coldRemainingMs",
          "expectedRev",
          "tombstone",
          "\"evacuate/");

  @Test
  void platformNamesAppearOnlyInPlatformModule() throws IOException {
    for (String module : OTHER_MODULES) {
      for (Path source : sources(Path.of("..", module, "src", "main", "java"))) {
        String text = Files.readString(source);
        assertThat(NAMES.filter(text::contains)).as(source.toString()).isEmpty();
      }
    }
  }

  private static List<Path> sources(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.filter(file -> file.toString().endsWith(".java")).toList();
    }
  }
}
