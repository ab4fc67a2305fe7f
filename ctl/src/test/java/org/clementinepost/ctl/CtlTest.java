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

/** Whole command lines against a platform in memory. */
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

  private int onPlatform(String... arguments) {
    return run(
        Vector.of(arguments)
            .appendAll(Vector.of("--platform", "memory"))
            .toJavaArray(String[]::new));
  }

  private JsonNode json(String... arguments) throws IOException {
    onPlatform(
        Vector.of(arguments).appendAll(Vector.of("--output", "json")).toJavaArray(String[]::new));
    return MAPPER.readTree(output.toByteArray());
  }

  private String dir() {
    return folder.toString();
  }

  private Snapshot head() {
    return new ConfigurationStore(platform).loadNewerThan(Snapshot.empty()).block().get();
  }

  @Test
  void checkNeedsNoPlatform() {
    assertThat(run("check", dir())).isZero();
    assertThat(output.toString(StandardCharsets.UTF_8)).contains("8 customers", "5 routes");
  }

  @Test
  void checkShowsEveryFindingAndEndsWithItsExitCode() throws IOException {
    Files.writeString(folder.resolve("keys/x.json"), "{\"name\":\"x\",\"customer\":\"nobody\"}");

    assertThat(run("check", dir())).isEqualTo(50);
    assertThat(error.toString(StandardCharsets.UTF_8))
        .contains("5003", "5006", "keys/x.json at /customer", "2 found");
  }

  @Test
  void publishesAndThenDiffersInNothing() throws IOException {
    assertThat(onPlatform("publish", dir())).isZero();
    assertThat(head().version()).isEqualTo(1);

    assertThat(json("diff", dir()).path("changes")).isEmpty();
    assertThat(json("publish", dir()).path("version").asLong()).isEqualTo(1);
  }

  @Test
  void editByCommandIsSeenByDiffAndNotUndoneByPublish() throws IOException {
    onPlatform("publish", dir());
    assertThat(onPlatform("drain", "expiry-desk-1")).isZero();

    assertThat(json("diff", dir()).path("changedByOthers").get(0).asText())
        .isEqualTo("drain/expiry-desk-1");
    assertThat(onPlatform("publish", dir())).isEqualTo(51);
    assertThat(error.toString(StandardCharsets.UTF_8)).contains("drain/expiry-desk-1");
    assertThat(head().drains()).hasSize(1);
  }

  @Test
  void pullBringsTheEditIntoTheFolder() throws IOException {
    onPlatform("publish", dir());
    onPlatform("drain", "expiry-desk-1");
    onPlatform("domain", "out", "kgn-a");

    assertThat(onPlatform("pull", dir())).isZero();

    assertThat(json("diff", dir()).path("changes")).isEmpty();
    assertThat(onPlatform("publish", dir())).isZero();
    assertThat(head().version()).isEqualTo(3);
  }

  @Test
  void pullRefusesWhereBothHaveChangedTheSameObject() throws IOException {
    onPlatform("publish", dir());
    onPlatform("domain", "out", "kgn-a");
    Path domains = folder.resolve("failure-domains/jm-south.json");
    Files.writeString(domains, Files.readString(domains).replace("kgn-b", "kgn-x"));
    Files.writeString(domains, Files.readString(domains).replaceFirst("jm-south", "jm-other"));

    assertThat(json("pull", dir()).path("changedByBoth").get(0).asText())
        .isEqualTo("failure-domain/kgn-a");
  }

  @Test
  void baseOnTheCommandLineReplacesWhatWasLookedAt() {
    onPlatform("publish", dir());
    onPlatform("drain", "expiry-desk-1");

    assertThat(onPlatform("publish", dir(), "--base", "2")).isZero();
    assertThat(head().drains()).isEmpty();
  }

  @Test
  void domainGoesOutAndIn() throws IOException {
    onPlatform("publish", dir());

    onPlatform("domain", "out", "spn-c");
    assertThat(json("status").path("failureDomainsOut").get(0).asText()).isEqualTo("spn-c");
    onPlatform("domain", "in", "spn-c");
    assertThat(json("status").path("failureDomainsOut")).isEmpty();
    assertThat(onPlatform("domain", "out", "nowhere")).isEqualTo(51);
  }

  @Test
  void lastDomainStaysInService() {
    onPlatform("publish", dir());
    onPlatform("domain", "out", "kgn-a");
    onPlatform("domain", "out", "kgn-b");

    assertThat(onPlatform("domain", "out", "spn-c")).isEqualTo(50);
    assertThat(error.toString(StandardCharsets.UTF_8)).contains("5008");
  }

  @Test
  void drainIsTakenBackOnce() {
    onPlatform("publish", dir());
    onPlatform("drain", "swap-office-2");

    assertThat(onPlatform("undrain", "swap-office-2")).isZero();
    assertThat(onPlatform("undrain", "swap-office-2")).isEqualTo(51);
  }

  @Test
  void grantedKeyIsShownOnceAndOnlyItsHashIsKept() throws IOException {
    onPlatform("publish", dir());

    JsonNode granted = json("key", "grant", "alumina-works", "--name", "gate");

    String hash = head().keys().values().find(key -> key.name().equals("gate")).get().sha256Hex();
    assertThat(granted.path("key").asText()).hasSize(43);
    assertThat(head().toString()).doesNotContain(granted.path("key").asText());
    assertThat(hash).isEqualTo(ApiKey.hash(granted.path("key").asText()));
    assertThat(onPlatform("key", "withdraw", "gate")).isZero();
    assertThat(head().keyByHash(hash).isEmpty()).isTrue();
  }

  @Test
  void keyNameThatIsTakenIsRefused() {
    onPlatform("publish", dir());

    assertThat(onPlatform("key", "grant", "alumina-works", "--name", "alumina-works-demo"))
        .isEqualTo(50);
    assertThat(output.toString(StandardCharsets.UTF_8)).isEmpty();
    assertThat(onPlatform("key", "grant", "nobody")).isEqualTo(51);
  }

  @Test
  void historyTellsWhoAndWhat() throws IOException {
    onPlatform("publish", dir(), "--operator", "ann");
    onPlatform("drain", "swap-office-2", "--operator", "ben", "--note", "rack work");

    JsonNode newest = json("history").path("versions").get(0);
    assertThat(newest.path("operator").asText()).isEqualTo("ben");
    assertThat(newest.path("note").asText()).isEqualTo("rack work");
  }

  private Path log(String name, String... lines) throws IOException {
    return Files.write(folder.resolve(name), Vector.of(lines));
  }

  @Test
  void explainsARequestFromTheLogsOfSeveralNodes() throws IOException {
    Path ingress =
        log(
            "ingress.log",
            "listening {}",
            "{\"time\":\"2026-01-01T00:00:00.001Z\",\"event\":\"placement\",\"request\":\"r-1\"}",
            "{\"time\":\"2026-01-01T00:00:00.001Z\",\"event\":\"placement\",\"request\":\"r-12\"}",
            "{\"time\":\"2026-01-01T00:00:00.009Z\",\"event\":\"answer\",\"request\":\"r-1\","
                + "\"status\":\"503\",\"code\":\"2003\",\"millis\":\"8\"}");
    Path host =
        log(
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
  void aRefusalElsewhereDoesNotExplainALostAnswer() throws IOException {
    Path node =
        log(
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
  void aRequestThatIsNotInTheLogsIsSaidToBeMissing() throws IOException {
    run("explain", "r-9", "--logs", log("empty.log").toString());

    assertThat(output.toString(StandardCharsets.UTF_8)).contains("No line of this request");
  }

  @Test
  void aLogThatCannotBeReadIsAnError() {
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
  void lineThatMakesNoSenseIsUsage() {
    assertThat(run("frobnicate")).isEqualTo(81);
    assertThat(run("check")).isEqualTo(81);
    assertThat(run("status")).isEqualTo(81);
    assertThat(run("check", dir(), "--output", "xml")).isEqualTo(81);
    assertThat(run("--nothing")).isEqualTo(81);
  }

  @Test
  void helpAndVersion() {
    assertThat(run("--help")).isZero();
    assertThat(output.toString(StandardCharsets.UTF_8)).contains("key grant CUSTOMER");
    assertThat(run("--version")).isZero();
    assertThat(output.toString(StandardCharsets.UTF_8)).containsPattern("clementinectl \\d+\\.");
  }
}
