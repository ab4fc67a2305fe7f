package org.clementinepost.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class NodeMainTest {
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private int run(String... arguments) {
    return new NodeMain(new PrintWriter(out, true), new PrintWriter(err, true)).run(arguments);
  }

  @Test
  void helpListsOptions() {
    assertThat(run("--help")).isZero();
    assertThat(out.toString()).contains("--settings", "--check", "--version", "--help");
  }

  @Test
  void unknownOptionIsUsageErrorWithCode() {
    assertThat(run("--nonsense")).isEqualTo(81);
    assertThat(err.toString()).contains("error 8005");
  }

  @Test
  void unexpectedArgumentIsUsageError() {
    assertThat(run("stray")).isEqualTo(81);
    assertThat(err.toString()).contains("stray");
  }

  @Test
  void checkPrintsEveryFindingWithItsCode(@TempDir Path folder) throws IOException {
    Path file = Files.writeString(folder.resolve("node.json"), "{\"nodeId\": \"node-1\"}");
    assertThat(run("--settings", file.toString(), "--check")).isEqualTo(80);
    assertThat(err.toString()).contains("error 8003 failureDomain", "error 8003 ingress");
  }

  @Test
  void checkOfValidFileDoesNotStartNode(@TempDir Path folder) throws IOException {
    Path file =
        Files.writeString(
            folder.resolve("node.json"),
            """
            {"nodeId": "node-1", "failureDomain": "kgn-a",
             "ingress": "127.0.0.1:0", "peer": "127.0.0.1:0",
             "announce": "127.0.0.1:0", "operator": "127.0.0.1:0",
             "platform": {"embedded": true}}
            """);
    assertThat(run("--settings", file.toString(), "--check")).isZero();
    assertThat(out.toString()).contains("in order");
  }
}
