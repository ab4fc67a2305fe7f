package org.clementinepost.node.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.nio.file.Path;
import org.clementinepost.api.ResultCode;
import org.clementinepost.policy.routing.RetryBound;
import org.junit.jupiter.api.Test;

final class NodeSettingsReaderTest {
  private static final String VALID_FILE =
      """
      {"nodeId": "node-1", "failureDomain": "kgn-a",
       "ingress": "127.0.0.1:0", "peer": "127.0.0.1:0",
       "announce": "127.0.0.1:0", "operator": "127.0.0.1:0",
       "platform": {"embedded": true}%s}
      """;

  private static Vector<SettingsFinding> findings(String json) {
    Either<Vector<SettingsFinding>, NodeSettings> read = NodeSettingsReader.parse(json);
    return read.isLeft() ? read.getLeft() : Vector.empty();
  }

  @Test
  void appliesDefaultsToValidFile() {
    NodeSettings settings = NodeSettingsReader.parse(VALID_FILE.formatted("")).get();
    assertThat(settings.node().value()).isEqualTo("node-1");
    assertThat(settings.connectionsPerServer()).isEqualTo(350);
    assertThat(settings.platform()).isEmpty();
  }

  @Test
  void acceptsFractionalStopGrace() {
    String grace = ", \"stopGraceSeconds\": 7.5";
    assertThat(findings(VALID_FILE.formatted(grace))).isEmpty();
    assertThat(NodeSettingsReader.parse(VALID_FILE.formatted(grace)).get().stopGraceMillis())
        .isEqualTo(7_500);
  }

  @Test
  void acceptsFractionalRetryBurst() {
    String retries = ", \"retries\": {\"fraction\": 0.2, \"burst\": 28.4}";
    assertThat(findings(VALID_FILE.formatted(retries))).isEmpty();
    assertThat(NodeSettingsReader.parse(VALID_FILE.formatted(retries)).get().retryBound())
        .isEqualTo(new RetryBound(0.2, 28.4));
  }

  @Test
  void rejectsStopGraceOutOfBoundsOrOfWrongType() {
    for (String grace : Vector.of("0", "3601", "\"6\"")) {
      assertThat(findings(VALID_FILE.formatted(", \"stopGraceSeconds\": " + grace)))
          .extracting(SettingsFinding::path, SettingsFinding::code)
          .containsExactly(tuple("stopGraceSeconds", ResultCode.SETTING_OUT_OF_BOUNDS));
    }
  }

  @Test
  void reportsAllFindingsAtOnce() {
    Vector<SettingsFinding> findings =
        findings(
            """
            {"nodeId": "", "failureDomain": 7, "ingress": "nowhere", "peer": "127.0.0.1:0",
             "announce": "127.0.0.1:0", "idleTimeoutMillis": 5, "platfrom": {}}
            """);
    assertThat(findings.map(SettingsFinding::path))
        .containsExactlyInAnyOrder(
            "platfrom",
            "nodeId",
            "failureDomain",
            "ingress",
            "operator",
            "idleTimeoutMillis",
            "platform.tableUrl",
            "platform.objectsUrl");
  }

  @Test
  void rejectsUnknownSettingInSection() {
    assertThat(findings(VALID_FILE.replace("true}", "true, \"tabelUrl\": \"x\"}").formatted("")))
        .extracting(SettingsFinding::path, SettingsFinding::code)
        .containsExactly(tuple("platform.tabelUrl", ResultCode.SETTING_UNKNOWN));
  }

  @Test
  void rejectsIntegerOutOfBoundsOrOfWrongType() {
    assertThat(findings(VALID_FILE.formatted(", \"connectionsPerServer\": 0"))).hasSize(1);
    assertThat(findings(VALID_FILE.formatted(", \"connectionsPerServer\": \"350\""))).hasSize(1);
    assertThat(findings(VALID_FILE.formatted(", \"connectionsPerServer\": 3.5"))).hasSize(1);
    assertThat(findings(VALID_FILE.formatted(", \"connectionsPerServer\": 10000"))).isEmpty();
  }

  @Test
  void invalidJsonGivesOneFinding() {
    assertThat(findings("{\"nodeId\": ").map(SettingsFinding::code))
        .containsExactly(ResultCode.SETTINGS_UNREADABLE);
    assertThat(findings("[]").map(SettingsFinding::code))
        .containsExactly(ResultCode.SETTINGS_UNREADABLE);
    assertThat(findings("{\"nodeId\": \"a\", \"nodeId\": \"b\"}").map(SettingsFinding::code))
        .containsExactly(ResultCode.SETTINGS_UNREADABLE);
  }

  @Test
  void missingFileGivesOneFinding() {
    assertThat(NodeSettingsReader.read(Path.of("no-such-file.json")).getLeft().head().code())
        .isEqualTo(ResultCode.SETTINGS_UNREADABLE);
  }
}
