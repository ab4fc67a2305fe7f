package org.clementinepost.storage.config.source;

import java.util.Comparator;
import org.clementinepost.api.ResultCode;

/**
 * Problem found in a set of configuration objects.
 *
 * @param file the file, relative to the folder
 * @param pointer the position in the file, as a JSON pointer
 * @param code the result code
 * @param problem the description of the problem, in one sentence
 * @param hint the way to correct it
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
