package org.clementinepost.node.settings;

import org.clementinepost.api.ResultCode;

/**
 * One error in a settings file.
 *
 * @param code the result code
 * @param path the path of the setting, with dots between its parts
 * @param hint what to do about it
 */
public record SettingsFinding(ResultCode code, String path, String hint) {
  /** Returns the finding as one line of text for operators. */
  public String format() {
    return "error " + code.number() + " " + path + ": " + code.title() + "; " + hint;
  }
}
