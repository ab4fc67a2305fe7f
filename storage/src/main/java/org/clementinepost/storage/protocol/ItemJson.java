package org.clementinepost.storage.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.clementinepost.storage.Item;
import org.clementinepost.storage.ItemKey;

/** Items and keys as attribute maps, in which each value stands under its type. */
final class ItemJson {
  private static final String PARTITION = "pk";
  private static final String SORT = "sk";
  private static final String VERSION = "version";
  private static final String BODY = "body";
  private static final String STRING_TYPE = "S";
  private static final String NUMBER_TYPE = "N";

  private ItemJson() {}

  static ObjectNode ofKey(ItemKey key) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.set(PARTITION, ofString(key.partition()));
    node.set(SORT, ofString(key.sort()));
    return node;
  }

  static ObjectNode ofItem(Item item) {
    ObjectNode node = ofKey(item.key());
    node.set(VERSION, ofNumber(item.version()));
    node.set(BODY, ofString(item.body()));
    return node;
  }

  static ObjectNode ofString(String value) {
    return JsonNodeFactory.instance.objectNode().put(STRING_TYPE, value);
  }

  static ObjectNode ofNumber(long value) {
    return JsonNodeFactory.instance.objectNode().put(NUMBER_TYPE, Long.toString(value));
  }

  static ItemKey toKey(JsonNode node) {
    return new ItemKey(toText(node.path(PARTITION)), toText(node.path(SORT)));
  }

  static Item toItem(JsonNode node) {
    return new Item(toKey(node), toLong(node.path(VERSION)), toText(node.path(BODY)));
  }

  static String toText(JsonNode attribute) {
    return required(attribute, STRING_TYPE);
  }

  static long toLong(JsonNode attribute) {
    return Long.parseLong(required(attribute, NUMBER_TYPE));
  }

  private static String required(JsonNode attribute, String type) {
    JsonNode value = attribute.path(type);
    if (!value.isTextual()) {
      throw new IllegalArgumentException("no attribute value of type " + type);
    }
    return value.textValue();
  }
}
