package org.clementinepost.storage.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.storage.ItemCondition;
import org.clementinepost.storage.ItemKey;
import org.clementinepost.storage.ItemWrite;

/** Encodes and decodes the bodies of requests in the table service's JSON protocol. */
public final class TableRequestCodec {
  /** The prefix of the operation's name in the header field {@code X-Amz-Target}. */
  public static final String TARGET_PREFIX = "DynamoDB_20120810.";

  private static final String ABSENT_EXPRESSION = "attribute_not_exists(pk)";
  private static final String VERSION_EXPRESSION = "version = :v";
  private static final String PARTITION_EXPRESSION = "pk = :p";
  private static final String VERSION_VALUE = ":v";
  private static final String PARTITION_VALUE = ":p";
  private static final String TABLE_NAME = "TableName";
  private static final String CONSISTENT_READ = "ConsistentRead";
  private static final String KEY = "Key";
  private static final String ITEM = "Item";
  private static final String PUT = "Put";
  private static final String DELETE = "Delete";
  private static final String LIMIT = "Limit";
  private static final String TRANSACT_ITEMS = "TransactItems";
  private static final String CONDITION_EXPRESSION = "ConditionExpression";
  private static final String KEY_CONDITION_EXPRESSION = "KeyConditionExpression";
  private static final String EXPRESSION_VALUES = "ExpressionAttributeValues";
  private static final String EXCLUSIVE_START_KEY = "ExclusiveStartKey";

  private final String tableName;

  /** Creates a codec for requests to one table. */
  public TableRequestCodec(String tableName) {
    this.tableName = tableName;
  }

  /** Encodes the body of a request. */
  public byte[] encode(TableRequest request) {
    if (request instanceof TableRequest.GetItem get) {
      return Json.write(encodeGet(get));
    }
    if (request instanceof TableRequest.Query query) {
      return Json.write(encodeQuery(query));
    }
    return Json.write(encodeWrites((TableRequest.TransactWriteItems) request));
  }

  private ObjectNode encodeGet(TableRequest.GetItem get) {
    ObjectNode node = newRequestNode().put(CONSISTENT_READ, true);
    node.set(KEY, ItemJson.encodeKey(get.key()));
    return node;
  }

  private ObjectNode encodeQuery(TableRequest.Query query) {
    ObjectNode node =
        newRequestNode()
            .put(CONSISTENT_READ, true)
            .put(KEY_CONDITION_EXPRESSION, PARTITION_EXPRESSION)
            .put(LIMIT, query.limit());
    node.putObject(EXPRESSION_VALUES)
        .set(PARTITION_VALUE, ItemJson.encodeString(query.partition()));
    query
        .after()
        .map(sort -> ItemJson.encodeKey(new ItemKey(query.partition(), sort)))
        .forEach(key -> node.set(EXCLUSIVE_START_KEY, key));
    return node;
  }

  private ObjectNode encodeWrites(TableRequest.TransactWriteItems request) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    var items = node.putArray(TRANSACT_ITEMS);
    request.writes().map(this::encodeWrite).forEach(items::add);
    return node;
  }

  private ObjectNode encodeWrite(ItemWrite write) {
    ObjectNode operation = newRequestNode();
    if (write.newItem().isDefined()) {
      operation.set(ITEM, ItemJson.encodeItem(write.newItem().get()));
    } else {
      operation.set(KEY, ItemJson.encodeKey(write.key()));
    }
    addCondition(operation, write.condition());
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.set(write.newItem().isDefined() ? PUT : DELETE, operation);
    return node;
  }

  private static void addCondition(ObjectNode operation, ItemCondition condition) {
    if (condition instanceof ItemCondition.Absent) {
      operation.put(CONDITION_EXPRESSION, ABSENT_EXPRESSION);
    }
    if (condition instanceof ItemCondition.AtVersion at) {
      operation.put(CONDITION_EXPRESSION, VERSION_EXPRESSION);
      operation
          .putObject(EXPRESSION_VALUES)
          .set(VERSION_VALUE, ItemJson.encodeNumber(at.version()));
    }
  }

  private ObjectNode newRequestNode() {
    return JsonNodeFactory.instance.objectNode().put(TABLE_NAME, tableName);
  }

  /** Decodes a request from the name of its operation and its body. */
  public static Either<Failure, TableRequest> decode(String operation, byte[] body) {
    return Json.read(body, node -> decode(operation, node));
  }

  private static TableRequest decode(String operation, JsonNode node) {
    return switch (operation) {
      case TableRequest.GetItem.OPERATION ->
          new TableRequest.GetItem(ItemJson.decodeKey(node.path(KEY)));
      case TableRequest.Query.OPERATION -> decodeQuery(node);
      case TableRequest.TransactWriteItems.OPERATION ->
          new TableRequest.TransactWriteItems(
              Vector.ofAll(node.path(TRANSACT_ITEMS)).map(TableRequestCodec::decodeWrite));
      default -> throw new IllegalArgumentException("unknown operation " + operation);
    };
  }

  private static TableRequest decodeQuery(JsonNode node) {
    requireExpression(node.path(KEY_CONDITION_EXPRESSION), PARTITION_EXPRESSION);
    String partition = ItemJson.decodeString(node.path(EXPRESSION_VALUES).path(PARTITION_VALUE));
    Option<String> after =
        Option.of(node.get(EXCLUSIVE_START_KEY)).map(key -> ItemJson.decodeKey(key).sort());
    return new TableRequest.Query(partition, after, node.path(LIMIT).asInt(Integer.MAX_VALUE));
  }

  private static ItemWrite decodeWrite(JsonNode node) {
    if (node.has(PUT)) {
      var item = ItemJson.decodeItem(node.path(PUT).path(ITEM));
      return new ItemWrite(item.key(), decodeCondition(node.path(PUT)), Option.of(item));
    }
    ItemKey key = ItemJson.decodeKey(node.path(DELETE).path(KEY));
    return new ItemWrite(key, decodeCondition(node.path(DELETE)), Option.none());
  }

  private static ItemCondition decodeCondition(JsonNode operation) {
    if (!operation.has(CONDITION_EXPRESSION)) {
      return new ItemCondition.Always();
    }
    if (operation.path(CONDITION_EXPRESSION).asText().equals(ABSENT_EXPRESSION)) {
      return new ItemCondition.Absent();
    }
    requireExpression(operation.path(CONDITION_EXPRESSION), VERSION_EXPRESSION);
    return new ItemCondition.AtVersion(
        ItemJson.decodeNumber(operation.path(EXPRESSION_VALUES).path(VERSION_VALUE)));
  }

  private static void requireExpression(JsonNode expression, String expected) {
    if (!expression.asText().equals(expected)) {
      throw new IllegalArgumentException("unknown expression " + expression);
    }
  }
}
