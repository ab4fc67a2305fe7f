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
        setting.kind() == Setting.Kind.NUMBER || setting.kind() == Setting.Kind.DECIMAL;
    return String.join(
        " ",
        "|",
        "`" + setting.path() + "`",
        "|",
        kind(setting.kind()),
        "|",
        setting.unit(),
        "|",
        setting.fallback().map(SettingsReference::fallback).getOrElse("required"),
        "|",
        number ? setting.min() + " to " + setting.max() : "",
        "|",
        setting.meaning(),
        "|\n");
  }

  private static String fallback(String value) {
    return value.isEmpty() ? "none" : "`" + value + "`";
  }

  private static String kind(Setting.Kind kind) {
    return switch (kind) {
      case TEXT -> "text";
      case ADDRESS -> "IP:port";
      case URL -> "URL";
      case FLAG -> "true or false";
      case NUMBER -> "whole number";
      case DECIMAL -> "number";
      case SHARE -> "number from 0 to 1";
    };
  }
}
