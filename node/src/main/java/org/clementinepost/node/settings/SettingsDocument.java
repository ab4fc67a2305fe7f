package org.clementinepost.node.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.net.URI;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.ResultCode;

/** A parsed settings file: validates it, and gives typed access to its values. */
record SettingsDocument(JsonNode root) {
  /** Returns all findings about the file. */
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
                          ResultCode.SETTING_UNKNOWN,
                          path,
                          "remove the setting or correct its name"));
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
              : Option.some("must be a text that is not empty");
      case ADDRESS ->
          value.isTextual() && Try.of(() -> NetworkAddress.parse(value.asText())).isSuccess()
              ? Option.none()
              : Option.some("must be an IP address and a port, such as 10.0.0.7:8080");
      case URL ->
          value.isTextual() && isHttpUrl(value.asText())
              ? Option.none()
              : Option.some("must be an http URL, such as http://10.0.0.1:8000");
      case BOOLEAN -> value.isBoolean() ? Option.none() : Option.some("must be true or false");
      case FRACTION ->
          value.isNumber() && value.asDouble() >= 0 && value.asDouble() <= 1
              ? Option.none()
              : Option.some("must be a number from 0 to 1");
      case INTEGER -> findNumberProblem(setting, value, value.isIntegralNumber(), "whole number");
      case DECIMAL -> findNumberProblem(setting, value, value.isNumber(), "number");
    };
  }

  private static Option<String> findNumberProblem(
      Setting setting, JsonNode value, boolean hasRightType, String kind) {
    boolean valid =
        hasRightType
            && value.canConvertToLong()
            && value.asDouble() >= setting.min()
            && value.asDouble() <= setting.max();
    return valid
        ? Option.none()
        : Option.some(
            "must be a "
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
                    "set the URL or rowStore.address, or set platform.embedded for a single node"));
  }

  private Option<JsonNode> value(Setting setting) {
    JsonNode value = root.at("/" + setting.path().replace('.', '/'));
    return value.isMissingNode() || value.isNull() ? Option.none() : Option.some(value);
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
