package org.clementinepost.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.Vector;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.ApiKey;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.storage.InMemoryPlatform;
import org.clementinepost.storage.Platform;
import org.clementinepost.storage.config.ConfigurationStore;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.Disposables;

/** Runs complete command lines against an in-memory platform. */
final class CtlTest {
  private static final Path EXAMPLE = Path.of("..", "examples", "blue-mahoe");
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @TempDir private Path folder;
  private final Platform platform = InMemoryPlatform.create();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream error = new ByteArrayOutputStream();

  @BeforeEach
  void copyExample() throws IOException {
    try (Stream<Path> files = Files.walk(EXAMPLE)) {
      for (Path file : Vector.ofAll(files).filter(Files::isRegularFile)) {
        Path copy = folder.resolve(EXAMPLE.relativize(file).toString());
        Files.createDirectories(copy.getParent());
        Files.copy(file, copy);
      }
    }
  }

  private int run(String... arguments) {
    output.reset();
    error.reset();
    Ctl ctl =
        new Ctl(
            url -> new PlatformConnections(platform, Disposables.disposed()),
            new PrintStream(output, true, StandardCharsets.UTF_8),
            new PrintStream(error, true, StandardCharsets.UTF_8),
            () -> 0);
    return ctl.run(arguments);
  }

  private int runOnPlatform(String... arguments) {
    return run(
        Vector.of(arguments)
            .appendAll(Vector.of("--platform", "memory"))
            .toJavaArray(String[]::new));
  }

  private JsonNode json(String... arguments) throws IOException {
    runOnPlatform(
        Vector.of(arguments).appendAll(Vector.of("--output", "json")).toJavaArray(String[]::new));
    return MAPPER.readTree(output.toByteArray());
  }

  private String folderArgument() {
    return folder.toString();
  }

  private Snapshot head() {
    return new ConfigurationStore(platform).loadNewerThan(Snapshot.empty()).block().get();
  }

  @Test
  void checkRunsWithoutPlatform() {
    assertThat(run("check", folderArgument())).isZero();
    assertThat(output.toString(StandardCharsets.UTF_8)).contains("8 customers", "5 routes");
  }

  @Test
  void checkPrintsEveryFindingAndReturnsItsExitCode() throws IOException {
    Files.writeString(folder.resolve("keys/x.json"), "{\"name\":\"x\",\"customer\":\"nobody\"}");

    assertThat(run("check", folderArgument())).isEqualTo(50);
    assertThat(error.toString(StandardCharsets.UTF_8))
        .contains("5003", "5006", "keys/x.json at /customer", "2 found");
  }

  @Test
  void diffIsEmptyAfterPublish() throws IOException {
    assertThat(runOnPlatform("publish", folderArgument())).isZero();
    assertThat(head().version()).isEqualTo(1);

    assertThat(json("diff", folderArgument()).path("changes")).isEmpty();
    assertThat(json("publish", folderArgument()).path("version").asLong()).isEqualTo(1);
  }

  @Test
  void publishFromOlderBaseDoesNotUndoDrain() throws IOException {
    runOnPlatform("publish", folderArgument());
    assertThat(runOnPlatform("drain", "expiry-desk-1")).isZero();

    assertThat(json("diff", folderArgument()).path("changedByOthers").get(0).asText())
        .isEqualTo("drain/expiry-desk-1");
    assertThat(runOnPlatform("publish", folderArgument())).isEqualTo(51);
    assertThat(error.toString(StandardCharsets.UTF_8)).contains("drain/expiry-desk-1");
    assertThat(head().drains()).hasSize(1);
  }

  @Test
  void pullWritesPublishedChangesIntoFolder() throws IOException {
    runOnPlatform("publish", folderArgument());
    runOnPlatform("drain", "expiry-desk-1");
    runOnPlatform("domain", "out", "kgn-a");

    assertThat(runOnPlatform("pull", folderArgument())).isZero();

    assertThat(json("diff", folderArgument()).path("changes")).isEmpty();
    assertThat(runOnPlatform("publish", folderArgument())).isZero();
    assertThat(head().version()).isEqualTo(3);
  }

  @Test
  void pullRejectsConflictingChangesOfOneObject() throws IOException {
    runOnPlatform("publish", folderArgument());
    runOnPlatform("domain", "out", "kgn-a");
    Path domains = folder.resolve("failure-domains/jm-south.json");
    Files.writeString(domains, Files.readString(domains).replace("kgn-b", "kgn-x"));
    Files.writeString(domains, Files.readString(domains).replaceFirst("jm-south", "jm-other"));

    assertThat(json("pull", folderArgument()).path("changedByBoth").get(0).asText())
        .isEqualTo("failure-domain/kgn-a");
  }

  @Test
  void baseOptionOverridesStoredBaseVersion() {
    runOnPlatform("publish", folderArgument());
    runOnPlatform("drain", "expiry-desk-1");

    assertThat(runOnPlatform("publish", folderArgument(), "--base", "2")).isZero();
    assertThat(head().drains()).isEmpty();
  }

  @Test
  void takesDomainOutAndBackIn() throws IOException {
    runOnPlatform("publish", folderArgument());

    runOnPlatform("domain", "out", "spn-c");
    assertThat(json("status").path("failureDomainsOut").get(0).asText()).isEqualTo("spn-c");
    runOnPlatform("domain", "in", "spn-c");
    assertThat(json("status").path("failureDomainsOut")).isEmpty();
    assertThat(runOnPlatform("domain", "out", "nowhere")).isEqualTo(51);
  }

  @Test
  void rejectsTakingLastDomainOut() {
    runOnPlatform("publish", folderArgument());
    runOnPlatform("domain", "out", "kgn-a");
    runOnPlatform("domain", "out", "kgn-b");

    assertThat(runOnPlatform("domain", "out", "spn-c")).isEqualTo(50);
    assertThat(error.toString(StandardCharsets.UTF_8)).contains("5008");
  }

  @Test
  void undrainFailsWhenServerIsNotDrained() {
    runOnPlatform("publish", folderArgument());
    runOnPlatform("drain", "swap-office-2");

    assertThat(runOnPlatform("undrain", "swap-office-2")).isZero();
    assertThat(runOnPlatform("undrain", "swap-office-2")).isEqualTo(51);
  }

  @Test
  void printsGrantedKeyOnceAndStoresOnlyItsHash() throws IOException {
    runOnPlatform("publish", folderArgument());

    JsonNode granted = json("key", "grant", "alumina-works", "--name", "gate");

    String hash = head().keys().values().find(key -> key.name().equals("gate")).get().sha256Hex();
    assertThat(granted.path("key").asText()).hasSize(43);
    assertThat(head().toString()).doesNotContain(granted.path("key").asText());
    assertThat(hash).isEqualTo(ApiKey.hash(granted.path("key").asText()));
    assertThat(runOnPlatform("key", "withdraw", "gate")).isZero();
    assertThat(head().keyByHash(hash).isEmpty()).isTrue();
  }

  @Test
  void rejectsDuplicateKeyName() {
    runOnPlatform("publish", folderArgument());

    assertThat(runOnPlatform("key", "grant", "alumina-works", "--name", "alumina-works-demo"))
        .isEqualTo(50);
    assertThat(output.toString(StandardCharsets.UTF_8)).isEmpty();
    assertThat(runOnPlatform("key", "grant", "nobody")).isEqualTo(51);
  }

  @Test
  void historyShowsOperatorAndNote() throws IOException {
    runOnPlatform("publish", folderArgument(), "--operator", "ann");
    runOnPlatform("drain", "swap-office-2", "--operator", "ben", "--note", "rack work");

    JsonNode newest = json("history").path("versions").get(0);
    assertThat(newest.path("operator").asText()).isEqualTo("ben");
    assertThat(newest.path("note").asText()).isEqualTo("rack work");
  }

  private Path writeLog(String name, String... lines) throws IOException {
    return Files.write(folder.resolve(name), Vector.of(lines));
  }

  @Test
  void explainsRequestFromLogsOfSeveralNodes() throws IOException {
    Path ingress =
        writeLog(
            "ingress.log",
            "listening {}",
            "{\"time\":\"2026-01-01T00:00:00.001Z\",\"event\":\"placement\",\"request\":\"r-1\"}",
            "{\"time\":\"2026-01-01T00:00:00.001Z\",\"event\":\"placement\",\"request\":\"r-12\"}",
            "{\"time\":\"2026-01-01T00:00:00.009Z\",\"event\":\"answer\",\"request\":\"r-1\","
                + "\"status\":\"503\",\"code\":\"2003\",\"millis\":\"8\"}");
    Path host =
        writeLog(
            "host.log",
            "  1.5 node-2 {\"time\":\"2026-01-01T00:00:00.005Z\",\"event\":\"admission\","
                + "\"request\":\"r-1\",\"server\":\"i-7\",\"result\":\"3001\"}");

    run("explain", "r-1", "--logs", ingress.toString(), host.toString());

    assertThat(output.toString(StandardCharsets.UTF_8))
        .containsSubsequence(
            "placement",
            "1.5 node-2",
            "admission",
            "After 8 ms the node answered 503 for 2003",
            "the host of i-7 refused it last: 3001")
        .doesNotContain("r-12");
  }

  @Test
  void refusalAtAnotherHostIsNotGivenAsCauseOfLostAnswer() throws IOException {
    Path node =
        writeLog(
            "node.log",
            "{\"time\":\"1\",\"event\":\"admission\",\"request\":\"r-1\",\"result\":\"3001\"}",
            "{\"time\":\"2\",\"event\":\"answer\",\"request\":\"r-1\",\"status\":\"502\","
                + "\"code\":\"7003\",\"millis\":\"9\"}");

    run("explain", "r-1", "--logs", node.toString());

    assertThat(output.toString(StandardCharsets.UTF_8))
        .contains("After 9 ms the node answered 502 for 7003")
        .doesNotContain("refused it last");
  }

  @Test
  void reportsRequestThatIsNotInLogs() throws IOException {
    run("explain", "r-9", "--logs", writeLog("empty.log").toString());

    assertThat(output.toString(StandardCharsets.UTF_8)).contains("No line of this request");
  }

  @Test
  void reportsUnreadableLogFile() {
    assertThat(run("explain", "r-9", "--logs", folder.resolve("none.log").toString()))
        .isEqualTo(ResultCode.USAGE.exitCode());
  }

  @Test
  void explainsByNumberAndName() {
    assertThat(run("explain", "5101")).isZero();
    assertThat(output.toString(StandardCharsets.UTF_8)).contains("PUBLISH_CONFLICT", "**Fix.**");
    assertThat(run("explain", "publish_conflict")).isZero();
    assertThat(run("explain", "77")).isEqualTo(ResultCode.USAGE.exitCode());
  }

  @Test
  void rejectsInvalidCommandLine() {
    assertThat(run("frobnicate")).isEqualTo(81);
    assertThat(run("check")).isEqualTo(81);
    assertThat(run("status")).isEqualTo(81);
    assertThat(run("check", folderArgument(), "--output", "xml")).isEqualTo(81);
    assertThat(run("--nothing")).isEqualTo(81);
  }

  @Test
  void printsHelpAndVersion() {
    assertThat(run("--help")).isZero();
    assertThat(output.toString(StandardCharsets.UTF_8)).contains("key grant CUSTOMER");
    assertThat(run("--version")).isZero();
    assertThat(output.toString(StandardCharsets.UTF_8)).containsPattern("clementinectl \\d+\\.");
  }
}
