package org.clementinepost.node.settings;

import io.vavr.control.Option;

/**
 * One setting of a node: what it is called, what it means and what it may be.
 *
 * @param path where it stands in the settings file, with dots
 * @param kind what its value is
 * @param unit the unit of a number; empty for others
 * @param defaultValue the value when the file has none; none when the file must have one
 * @param min the smallest number allowed
 * @param max the largest number allowed
 * @param description one sentence on what it does
 */
record Setting(
    String path,
    Kind kind,
    String unit,
    Option<String> defaultValue,
    long min,
    long max,
    String description) {

  /** What the value of a setting is. */
  enum Kind {
    TEXT,
    ADDRESS,
    URL,
    BOOLEAN,
    INTEGER,
    DECIMAL,
    FRACTION
  }

  static Setting required(String path, Kind kind, String meaning) {
    return new Setting(path, kind, "", Option.none(), 0, 0, meaning);
  }

  static Setting optional(String path, Kind kind, String fallback, String meaning) {
    return new Setting(path, kind, "", Option.some(fallback), 0, 0, meaning);
  }

  static Setting integer(
      String path, String unit, long fallback, long min, long max, String meaning) {
    return new Setting(
        path, Kind.INTEGER, unit, Option.some(Long.toString(fallback)), min, max, meaning);
  }

  static Setting decimal(
      String path, String unit, long fallback, long min, long max, String meaning) {
    return new Setting(
        path, Kind.DECIMAL, unit, Option.some(Long.toString(fallback)), min, max, meaning);
  }
}
