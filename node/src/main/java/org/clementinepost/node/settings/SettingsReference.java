package org.clementinepost.node.settings;

/** Writes the reference of every setting, so that the documentation cannot differ from the code. */
public final class SettingsReference {
  private static final String HEAD =
      """
      # Settings of a node

      One JSON file, given with `--settings FILE`; `--check` reads it and starts nothing.
      A dot in a name stands for a section: `platform.tableUrl` is
      `{"platform": {"tableUrl": ...}}`.
      This page is written by `clementinepost --settings-reference`; a test compares the two.

      | setting | value | unit | default | bounds | meaning |
      | --- | --- | --- | --- | --- | --- |
      """;

  private SettingsReference() {}

  /** The whole page. */
  public static String markdown() {
    StringBuilder page = new StringBuilder(HEAD);
    SettingsCatalog.all().forEach(setting -> page.append(row(setting)));
    return page.toString();
  }

  private static String row(Setting setting) {
    boolean number =
        setting.kind() == Setting.Kind.INTEGER || setting.kind() == Setting.Kind.DECIMAL;
    return String.join(
        " ",
        "|",
        "`" + setting.path() + "`",
        "|",
        describeKind(setting.kind()),
        "|",
        setting.unit(),
        "|",
        setting.defaultValue().map(SettingsReference::formatDefault).getOrElse("required"),
        "|",
        number ? setting.min() + " to " + setting.max() : "",
        "|",
        setting.description(),
        "|\n");
  }

  private static String formatDefault(String value) {
    return value.isEmpty() ? "none" : "`" + value + "`";
  }

  private static String describeKind(Setting.Kind kind) {
    return switch (kind) {
      case TEXT -> "text";
      case ADDRESS -> "IP:port";
      case URL -> "URL";
      case BOOLEAN -> "true or false";
      case INTEGER -> "whole number";
      case DECIMAL -> "number";
      case FRACTION -> "number from 0 to 1";
    };
  }
}
