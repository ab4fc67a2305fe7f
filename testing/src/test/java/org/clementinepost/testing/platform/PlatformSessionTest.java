package org.clementinepost.testing.platform;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import org.clementinepost.testing.golden.GoldenSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClient.RequestSender;

/** Compares a session of raw HTTP requests to the platform stand-in with its golden file. */
final class PlatformSessionTest {
  private static final Duration MAX_WAIT = Duration.ofSeconds(20);
  private static final String KEY = "{\"pk\":{\"S\":\"config\"},\"sk\":{\"S\":\"head\"}}";
  private static final String CREATE =
      "{\"TransactItems\":[{\"Put\":{\"TableName\":\"t\",\"Item\":{\"pk\":{\"S\":\"config\"},"
          + "\"sk\":{\"S\":\"head\"},\"version\":{\"N\":\"1\"},\"body\":{\"S\":\"{}\"}},"
          + "\"ConditionExpression\":\"attribute_not_exists(pk)\"}}]}";
  private static final String GET = "{\"TableName\":\"t\",\"Key\":" + KEY + "}";
  private static final String QUERY =
      "{\"TableName\":\"t\",\"KeyConditionExpression\":\"pk = :p\","
          + "\"ExpressionAttributeValues\":{\":p\":{\"S\":\"config\"}},\"Limit\":1}";

  private final PlatformStandIn standIn = PlatformStandIn.start();
  private final GoldenSession session = GoldenSession.forName("platform-stand-in");

  @AfterEach
  void stop() {
    standIn.close();
  }

  private void sendTableRequest(String operation, String body) {
    HttpClient client =
        HttpClient.create()
            .headers(fields -> fields.set("X-Amz-Target", "DynamoDB_20120810." + operation));
    session.addLine("> " + operation + " " + body);
    recordExchange(client.post().uri(standIn.url()), body);
  }

  private void sendHttpRequest(String method, String path, String body) {
    session.addLine("> " + method + " " + path + " " + body);
    HttpClient client = HttpClient.create().headers(fields -> fields.set("If-None-Match", "*"));
    RequestSender sender =
        switch (method) {
          case "PUT" -> client.put();
          case "POST" -> client.post();
          default -> client.request(HttpMethod.GET);
        };
    recordExchange(sender.uri(standIn.url() + path), body);
  }

  private void recordExchange(RequestSender sender, String body) {
    session.addLine(
        sender
            .send(ByteBufFlux.fromString(Mono.just(body)))
            .responseSingle(
                (response, content) ->
                    content
                        .asString()
                        .defaultIfEmpty("")
                        .map(text -> "< " + response.status().code() + " " + text))
            .block(MAX_WAIT));
  }

  @Test
  void matchesGoldenFile() {
    sendTableRequest("GetItem", GET);
    sendTableRequest("TransactWriteItems", CREATE);
    sendTableRequest("TransactWriteItems", CREATE);
    sendTableRequest("GetItem", GET);
    sendTableRequest("Query", QUERY);
    sendTableRequest("Scan", "{}");
    sendHttpRequest("PUT", "/bucket/snapshots/1", "abc");
    sendHttpRequest("PUT", "/bucket/snapshots/1", "abd");
    sendHttpRequest("GET", "/bucket/snapshots/1", "");
    sendHttpRequest("GET", "/bucket/snapshots/2", "");
    sendHttpRequest("POST", "/control", "{\"mode\":\"throttle\",\"count\":2}");
    sendTableRequest("GetItem", GET);
    sendHttpRequest("GET", "/bucket/snapshots/1", "");
    sendTableRequest("GetItem", GET);
    session.verify();
  }
}
