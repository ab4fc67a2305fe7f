package org.clementinepost.storage.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import org.clementinepost.api.ResultCode;
import org.clementinepost.storage.Item;
import org.clementinepost.storage.ItemCondition;
import org.clementinepost.storage.ItemKey;
import org.clementinepost.storage.ItemWrite;
import org.junit.jupiter.api.Test;

/** Compares encoded and decoded documents with those of the published protocol. */
final class TableCodecTest {
  private static final ItemKey KEY = new ItemKey("p", "s");
  private static final String KEY_JSON = "{\"pk\":{\"S\":\"p\"},\"sk\":{\"S\":\"s\"}}";
  private static final String ITEM_JSON =
      "{\"pk\":{\"S\":\"p\"},\"sk\":{\"S\":\"s\"},"
          + "\"version\":{\"N\":\"3\"},\"body\":{\"S\":\"{}\"}}";

  private final TableRequestCodec codec = new TableRequestCodec("t");

  private void assertEncoded(TableRequest request, String json) {
    assertThat(new String(codec.encode(request), StandardCharsets.UTF_8)).isEqualTo(json);
    assertThat(TableRequestCodec.decode(request.operation(), codec.encode(request)).get())
        .isEqualTo(request);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void encodesGet() {
    assertEncoded(
        new TableRequest.GetItem(KEY),
        "{\"TableName\":\"t\",\"ConsistentRead\":true,\"Key\":" + KEY_JSON + "}");
  }

  @Test
  void encodesQueryAfterSortKey() {
    assertEncoded(
        new TableRequest.Query("p", Option.some("s"), 5),
        "{\"TableName\":\"t\",\"ConsistentRead\":true,\"KeyConditionExpression\":\"pk = :p\","
            + "\"Limit\":5,\"ExpressionAttributeValues\":{\":p\":{\"S\":\"p\"}},"
            + "\"ExclusiveStartKey\":"
            + KEY_JSON
            + "}");
  }

  @Test
  void encodesConditionalWrites() {
    assertEncoded(
        new TableRequest.TransactWriteItems(
            Vector.of(
                new ItemWrite(KEY, new ItemCondition.Absent(), Option.some(new Item(KEY, 3, "{}"))),
                new ItemWrite(KEY, new ItemCondition.AtVersion(3), Option.none()))),
        "{\"TransactItems\":[{\"Put\":{\"TableName\":\"t\",\"Item\":"
            + ITEM_JSON
            + ",\"ConditionExpression\":\"attribute_not_exists(pk)\"}},"
            + "{\"Delete\":{\"TableName\":\"t\",\"Key\":"
            + KEY_JSON
            + ",\"ConditionExpression\":\"version = :v\","
            + "\"ExpressionAttributeValues\":{\":v\":{\"N\":\"3\"}}}}]}");
  }

  @Test
  void decodesPresentAndAbsentItem() {
    assertThat(TableResponseCodec.decodeItem(bytes("{\"Item\":" + ITEM_JSON + "}")).get())
        .isEqualTo(Option.some(new Item(KEY, 3, "{}")));
    assertThat(TableResponseCodec.decodeItem(bytes("{}")).get()).isEqualTo(Option.none());
  }

  @Test
  void malformedResponseIsProtocolFailure() {
    assertThat(TableResponseCodec.decodePage(bytes("{}")).getLeft().code())
        .isEqualTo(ResultCode.PLATFORM_PROTOCOL);
    assertThat(TableResponseCodec.decodeItem(bytes("<html>")).getLeft().code())
        .isEqualTo(ResultCode.PLATFORM_PROTOCOL);
    assertThat(TableResponseCodec.decodeWriteResponse(bytes("")).getLeft().code())
        .isEqualTo(ResultCode.PLATFORM_PROTOCOL);
  }

  @Test
  void mapsErrorsToResultCodes() {
    assertThat(error(400, "TransactionCanceledException", "None", "ConditionalCheckFailed"))
        .isEqualTo(ResultCode.PLATFORM_CONDITION_FAILED);
    assertThat(error(400, "TransactionCanceledException", "TransactionConflict"))
        .isEqualTo(ResultCode.PLATFORM_THROTTLED);
    assertThat(error(400, "ProvisionedThroughputExceededException"))
        .isEqualTo(ResultCode.PLATFORM_THROTTLED);
    assertThat(error(400, "ValidationException")).isEqualTo(ResultCode.PLATFORM_PROTOCOL);
    assertThat(error(500, "InternalServerError")).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    assertThat(TableErrorCodec.decode(502, bytes("<html>")).code())
        .isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
  }

  private static ResultCode error(int status, String type, String... reasons) {
    String list =
        Vector.of(reasons).map(reason -> "{\"Code\":\"" + reason + "\"}").mkString("[", ",", "]");
    String json =
        "{\"__type\":\"com.amazonaws.dynamodb.v20120810#"
            + type
            + "\",\"message\":\"m\",\"CancellationReasons\":"
            + list
            + "}";
    return TableErrorCodec.decode(status, bytes(json)).code();
  }
}
