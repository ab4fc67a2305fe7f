package org.clementinepost.node.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.net.URI;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.ResultCode;

/** A settings file that has been read, and the settings found in it. */
record SettingsDocument(JsonNode root) {
  /** Everything that is wrong with the file, not the first thing only. */
  Vector<SettingsFinding> findings() {
    return findUnknownSettings("", root)
        .appendAll(SettingsCatalog.all().flatMap(this::validate))
        .appendAll(findMissingPlatformUrls());
  }

  private static Vector<SettingsFinding> findUnknownSettings(String prefix, JsonNode node) {
    return Vector.ofAll(node.properties())
        .flatMap(
            entry -> {
              String path = prefix + entry.getKey();
              boolean known = SettingsCatalog.all().exists(setting -> setting.path().equals(path));
              boolean section =
                  entry.getValue().isObject()
                      && SettingsCatalog.all()
                          .exists(setting -> setting.path().startsWith(path + "."));
              if (section) {
                return findUnknownSettings(path + ".", entry.getValue());
              }
              return known
                  ? Vector.<SettingsFinding>empty()
                  : Vector.of(
                      new SettingsFinding(
                          ResultCode.SETTING_UNKNOWN, path, "remove it or correct its name"));
            });
  }

  private Option<SettingsFinding> validate(Setting setting) {
    Option<JsonNode> value = value(setting);
    if (value.isEmpty()) {
      return setting.defaultValue().isDefined()
          ? Option.none()
          : Option.some(
              new SettingsFinding(
                  ResultCode.SETTING_MISSING, setting.path(), setting.description()));
    }
    return findProblem(setting, value.get())
        .map(hint -> new SettingsFinding(ResultCode.SETTING_OUT_OF_BOUNDS, setting.path(), hint));
  }

  private static Option<String> findProblem(Setting setting, JsonNode value) {
    return switch (setting.kind()) {
      case TEXT ->
          value.isTextual() && !value.asText().isBlank()
              ? Option.none()
              : Option.some("give a text that is not empty");
      case ADDRESS ->
          value.isTextual() && Try.of(() -> NetworkAddress.parse(value.asText())).isSuccess()
              ? Option.none()
              : Option.some("give an IP number and a port, such as 10.0.0.7:8080");
      case URL ->
          value.isTextual() && isHttpUrl(value.asText())
              ? Option.none()
              : Option.some("give a URL, such as http://10.0.0.1:8000");
      case BOOLEAN -> value.isBoolean() ? Option.none() : Option.some("give true or false");
      case FRACTION ->
          value.isNumber() && value.asDouble() >= 0 && value.asDouble() <= 1
              ? Option.none()
              : Option.some("give a number from 0 to 1");
      case INTEGER -> findNumberProblem(setting, value, value.isIntegralNumber(), "whole number");
      case DECIMAL -> findNumberProblem(setting, value, value.isNumber(), "number");
    };
  }

  private static Option<String> findNumberProblem(
      Setting setting, JsonNode value, boolean proper, String kind) {
    boolean fits =
        proper
            && value.canConvertToLong()
            && value.asDouble() >= setting.min()
            && value.asDouble() <= setting.max();
    return fits
        ? Option.none()
        : Option.some(
            "give a "
                + kind
                + " of "
                + setting.unit()
                + " from "
                + setting.min()
                + " to "
                + setting.max());
  }

  private static boolean isHttpUrl(String text) {
    return Try.of(() -> URI.create(text))
        .map(uri -> "http".equals(uri.getScheme()) && uri.getHost() != null)
        .getOrElse(false);
  }

  private Vector<SettingsFinding> findMissingPlatformUrls() {
    if (isTrue(SettingsCatalog.PLATFORM_EMBEDDED) || isSet(SettingsCatalog.ROW_STORE_ADDRESS)) {
      return Vector.empty();
    }
    return Vector.of(SettingsCatalog.PLATFORM_TABLE_URL, SettingsCatalog.PLATFORM_OBJECTS_URL)
        .filter(setting -> value(setting).isEmpty())
        .map(
            setting ->
                new SettingsFinding(
                    ResultCode.SETTING_MISSING,
                    setting.path(),
                    "give a URL or a row store, or set platform.embedded for a single node"));
  }

  private Option<JsonNode> value(Setting setting) {
    JsonNode found = root.at("/" + setting.path().replace('.', '/'));
    return found.isMissingNode() || found.isNull() ? Option.none() : Option.some(found);
  }

  String text(Setting setting) {
    return value(setting).map(JsonNode::asText).getOrElse(() -> setting.defaultValue().get());
  }

  NetworkAddress address(Setting setting) {
    return NetworkAddress.parse(text(setting));
  }

  long integer(Setting setting) {
    return value(setting)
        .map(JsonNode::asLong)
        .getOrElse(() -> Long.parseLong(setting.defaultValue().get()));
  }

  double decimal(Setting setting) {
    return value(setting)
        .map(JsonNode::asDouble)
        .getOrElse(() -> Double.parseDouble(setting.defaultValue().get()));
  }

  boolean isSet(Setting setting) {
    return value(setting).isDefined();
  }

  boolean isTrue(Setting setting) {
    return value(setting).map(JsonNode::asBoolean).getOrElse(false);
  }
}
