package org.clementinepost.node.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.Random;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests requests through nodes and backend servers that run as processes. */
final class EndToEndProcessTest {
  private static final int UPLOAD_BYTES = 60_000_000;
  private static final long SEED = 20_261_204;

  @TempDir private static Path folder;
  private static ProcessFleet fleet;

  @BeforeAll
  static void start() throws Exception {
    fleet = ProcessFleet.start(folder, 3);
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  @Test
  void everyNodeReturnsCompleteResponse() throws Exception {
    for (String node : fleet.nodeNames()) {
      HttpResponse<String> response = fleet.get(node, "/hello?x=1");
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).contains("\"path\":\"/hello?x=1\"").endsWith("}");
    }
  }

  @Test
  void unknownKeyIsRejectedAsNotRun() throws Exception {
    HttpResponse<String> response =
        fleet.send(
            HttpRequest.newBuilder(fleet.uri("node-1", "/hello"))
                .header("Authorization", "Bearer wrong")
                .build());
    assertThat(response.statusCode()).isEqualTo(401);
    assertThat(response.body()).contains("\"code\":1102", "\"run\":\"not-run\"");
  }

  @Test
  void routeOpenToAllNeedsNoKey() throws Exception {
    HttpResponse<String> response =
        fleet.send(HttpRequest.newBuilder(fleet.uri("node-2", "/open/x")).build());
    assertThat(response.statusCode()).isEqualTo(200);
  }

  @Test
  void echoesUploadByteForByte() throws Exception {
    byte[] upload = new byte[UPLOAD_BYTES];
    new Random(SEED).nextBytes(upload);
    for (String node : fleet.nodeNames()) {
      DuplexUpload.Response response =
          DuplexUpload.post(fleet.uri(node, "/echo"), ProcessFleet.KEY, upload);
      assertThat(response.head()).startsWith("http/1.1 200");
      assertThat(response.body()).isEqualTo(upload);
    }
  }

  @Test
  void keyIsNotForwardedToBackendServers() throws Exception {
    for (String node : fleet.nodeNames()) {
      String response = fleet.get(node, "/hello").body();
      assertThat(response)
          .doesNotContainIgnoringCase("authorization")
          .doesNotContain(ProcessFleet.KEY);
    }
  }

  @Test
  void headRequestHasNoBody() throws Exception {
    HttpResponse<String> response =
        fleet.send(
            fleet
                .request("node-1", "/hello")
                .method("HEAD", HttpRequest.BodyPublishers.noBody())
                .build());
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).isEmpty();
  }
}
