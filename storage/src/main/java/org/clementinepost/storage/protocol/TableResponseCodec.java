package org.clementinepost.storage.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.storage.Item;
import org.clementinepost.storage.ItemKey;

/** Encodes and decodes the successful responses of the table service. */
public final class TableResponseCodec {
  private static final String ITEM = "Item";
  private static final String ITEMS = "Items";
  private static final String COUNT = "Count";
  private static final String LAST_EVALUATED_KEY = "LastEvaluatedKey";

  private TableResponseCodec() {}

  /** Encodes the response to a read of one item. */
  public static byte[] encodeItem(Option<Item> item) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    item.map(ItemJson::encodeItem).forEach(encoded -> node.set(ITEM, encoded));
    return Json.write(node);
  }

  /** Decodes the response to a read of one item. */
  public static Either<Failure, Option<Item>> decodeItem(byte[] body) {
    return Json.read(body, node -> Option.of(node.get(ITEM)).map(ItemJson::decodeItem));
  }

  /** Encodes a page of a query. */
  public static byte[] encodePage(String partition, QueryPage page) {
    ObjectNode node = JsonNodeFactory.instance.objectNode().put(COUNT, page.items().size());
    var items = node.putArray(ITEMS);
    page.items().map(ItemJson::encodeItem).forEach(items::add);
    page.lastEvaluatedSortKey()
        .map(sort -> ItemJson.encodeKey(new ItemKey(partition, sort)))
        .forEach(key -> node.set(LAST_EVALUATED_KEY, key));
    return Json.write(node);
  }

  /** Decodes a page of a query. */
  public static Either<Failure, QueryPage> decodePage(byte[] body) {
    return Json.read(body, TableResponseCodec::decodePageNode);
  }

  private static QueryPage decodePageNode(JsonNode node) {
    if (!node.path(ITEMS).isArray()) {
      throw new IllegalArgumentException("the page has no list of items");
    }
    Vector<Item> items = Vector.ofAll(node.path(ITEMS)).map(ItemJson::decodeItem);
    Option<String> lastSortKey =
        Option.of(node.get(LAST_EVALUATED_KEY)).map(key -> ItemJson.decodeKey(key).sort());
    return new QueryPage(items, lastSortKey);
  }

  /** Encodes the response to a write that took effect. */
  public static byte[] encodeWriteResponse() {
    return Json.write(JsonNodeFactory.instance.objectNode());
  }

  /**
   * Decodes the response to a write that took effect, which is an object without further content.
   */
  public static Either<Failure, Boolean> decodeWriteResponse(byte[] body) {
    return Json.read(body, TableResponseCodec::requireObject);
  }

  private static boolean requireObject(JsonNode node) {
    if (!node.isObject()) {
      throw new IllegalArgumentException("the response is not a JSON object");
    }
    return true;
  }
}
