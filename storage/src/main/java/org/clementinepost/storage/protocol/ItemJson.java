package org.clementinepost.storage.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.clementinepost.storage.Item;
import org.clementinepost.storage.ItemKey;

/**
 * Encodes and decodes items and keys as attribute maps, in which each value is keyed by its type.
 */
final class ItemJson {
  private static final String PARTITION = "pk";
  private static final String SORT = "sk";
  private static final String VERSION = "version";
  private static final String BODY = "body";
  private static final String STRING_TYPE = "S";
  private static final String NUMBER_TYPE = "N";

  private ItemJson() {}

  static ObjectNode encodeKey(ItemKey key) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.set(PARTITION, encodeString(key.partition()));
    node.set(SORT, encodeString(key.sort()));
    return node;
  }

  static ObjectNode encodeItem(Item item) {
    ObjectNode node = encodeKey(item.key());
    node.set(VERSION, encodeNumber(item.version()));
    node.set(BODY, encodeString(item.body()));
    return node;
  }

  static ObjectNode encodeString(String value) {
    return JsonNodeFactory.instance.objectNode().put(STRING_TYPE, value);
  }

  static ObjectNode encodeNumber(long value) {
    return JsonNodeFactory.instance.objectNode().put(NUMBER_TYPE, Long.toString(value));
  }

  static ItemKey decodeKey(JsonNode node) {
    return new ItemKey(decodeString(node.path(PARTITION)), decodeString(node.path(SORT)));
  }

  static Item decodeItem(JsonNode node) {
    return new Item(
        decodeKey(node), decodeNumber(node.path(VERSION)), decodeString(node.path(BODY)));
  }

  static String decodeString(JsonNode attribute) {
    return requireValue(attribute, STRING_TYPE);
  }

  static long decodeNumber(JsonNode attribute) {
    return Long.parseLong(requireValue(attribute, NUMBER_TYPE));
  }

  private static String requireValue(JsonNode attribute, String type) {
    JsonNode value = attribute.path(type);
    if (!value.isTextual()) {
      throw new IllegalArgumentException("no attribute value of type " + type);
    }
    return value.textValue();
  }
}
