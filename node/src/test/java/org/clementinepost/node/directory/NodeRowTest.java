package org.clementinepost.node.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.Member;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class NodeRowTest {
  private static final String ROW =
"""
{"incarnation":7,"peer":"10.0.0.1:7640","failureDomain":"a",\
"servers":[{"id":"i-1","service":"s","slots":4}]}\
""";

  private static void assertRejected(String json) {
    assertThat(NodeRow.fromJson("n", json).getLeft().code())
        .isEqualTo(ResultCode.PLATFORM_PROTOCOL);
  }

  @Test
  void readsWhatItWrites() {
    Member member =
        new Member(
            new NodeId("n"), 7, new NetworkAddress("10.0.0.1", 7640), new FailureDomainId("a"));
    Endpoint endpoint =
        new Endpoint(
            new BackendServerId("i-1"), new ServiceId("s"), member.node(), member.domain(), 4);
    NodeRow row = new NodeRow(member, Vector.of(endpoint), false);

    assertThat(NodeRow.fromJson("n", row.toJson()).get()).isEqualTo(row);
    assertThat(NodeRow.fromJson("n", ROW).get()).isEqualTo(row);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "10.0.0.1:70000",
        "10.0.0.1:0",
        "10.0.0.1:-1",
        "10.0.0.1:99999999999999999999",
        "no such host:80",
        "localhost:80",
        "999.0.0.1:80",
        ":80"
      })
  void rejectsAddressThatCannotBeDialed(String address) {
    assertRejected(ROW.replace("10.0.0.1:7640", address));
  }

  @ParameterizedTest
  @ValueSource(strings = {"0", "-4", "2147483647", "4294967300", "1e400", "4.5", "\"4\"", "null"})
  void rejectsSlotsOutOfRange(String slots) {
    assertRejected(ROW.replace("\"slots\":4", "\"slots\":" + slots));
  }

  @Test
  void rejectsNumberOf400DigitsAndDeepNesting() {
    assertRejected(ROW.replace("\"incarnation\":7", "\"incarnation\":" + "9".repeat(400)));
    assertRejected(ROW.replace("\"slots\":4", "\"slots\":" + "9".repeat(400)));
    assertRejected(
        ROW.replace("\"slots\":4", "\"slots\":" + "[".repeat(100_000) + "]".repeat(100_000)));
  }
}
