package org.clementinepost.node.settings;

import io.vavr.control.Option;

/**
 * The definition of one setting of a node.
 *
 * @param path the path in the settings file, with dots between its parts
 * @param kind the kind of its value
 * @param unit the unit of a number; empty for other kinds
 * @param defaultValue the value if the file has none; none if the setting is required
 * @param min the smallest number allowed
 * @param max the largest number allowed
 * @param description one sentence on what the setting does
 */
record Setting(
    String path,
    Kind kind,
    String unit,
    Option<String> defaultValue,
    long min,
    long max,
    String description) {

  /** The kinds of values. */
  enum Kind {
    TEXT,
    ADDRESS,
    URL,
    BOOLEAN,
    INTEGER,
    DECIMAL,
    FRACTION
  }

  static Setting required(String path, Kind kind, String description) {
    return new Setting(path, kind, "", Option.none(), 0, 0, description);
  }

  static Setting optional(String path, Kind kind, String defaultValue, String description) {
    return new Setting(path, kind, "", Option.some(defaultValue), 0, 0, description);
  }

  static Setting integer(
      String path, String unit, long defaultValue, long min, long max, String description) {
    return new Setting(
        path, Kind.INTEGER, unit, Option.some(Long.toString(defaultValue)), min, max, description);
  }

  static Setting decimal(
      String path, String unit, long defaultValue, long min, long max, String description) {
    return new Setting(
        path, Kind.DECIMAL, unit, Option.some(Long.toString(defaultValue)), min, max, description);
  }
}
