package org.clementinepost.storage.config.source;

import java.util.Comparator;
import org.clementinepost.api.ResultCode;

/**
 * Something wrong with a set of objects.
 *
 * @param file the file, relative to the folder
 * @param pointer the place in the file, as a JSON pointer
 * @param code the result code
 * @param problem what is wrong, in one sentence
 * @param hint what to do about it
 */
public record Finding(String file, String pointer, ResultCode code, String problem, String hint)
    implements Comparable<Finding> {
  private static final Comparator<Finding> ORDER =
      Comparator.comparing(Finding::file)
          .thenComparing(Finding::pointer)
          .thenComparing(Finding::code)
          .thenComparing(Finding::problem);

  @Override
  public int compareTo(Finding other) {
    return ORDER.compare(this, other);
  }
}
