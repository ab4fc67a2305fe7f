package org.clementinepost.node.settings;

import org.clementinepost.api.ResultCode;

/**
 * One thing that is wrong with a settings file.
 *
 * @param code the numbered error
 * @param path the setting, with dots
 * @param hint what to do about it
 */
public record SettingsFinding(ResultCode code, String path, String hint) {
  /** One line for a person. */
  public String format() {
    return "error " + code.number() + " " + path + ": " + code.title() + "; " + hint;
  }
}
