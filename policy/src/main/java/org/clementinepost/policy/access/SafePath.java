package org.clementinepost.policy.access;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/**
 * Checks that the route table and every backend server interpret a path in the same way.
 *
 * <p>With a dot segment, plain or encoded, a request for an open route could reach resources
 * outside that route, because a backend server may resolve the segment.
 */
public final class SafePath {
  /** A path that still changes after this many rounds of decoding is treated as an attack. */
  private static final int MAX_DECODING_ROUNDS = 3;

  private SafePath() {}

  /** Whether the path is unambiguous and may be routed. */
  public static boolean isSafe(String path) {
    if (!path.startsWith("/") || path.startsWith("//")) {
      return false;
    }
    String decoded = path;
    for (int round = 0; round < MAX_DECODING_ROUNDS; round++) {
      if (hasDotSegment(decoded) || hasControlCharacter(decoded)) {
        return false;
      }
      String next = decode(decoded);
      if (next.equals(decoded)) {
        return true;
      }
      decoded = next;
    }
    return false;
  }

  private static String decode(String path) {
    try {
      // Unlike in a form, a plus sign in a path does not stand for a space.
      return URLDecoder.decode(path.replace("+", "%2B"), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      return "/..";
    }
  }

  private static boolean hasDotSegment(String path) {
    for (String segment : path.split("[/\\\\]", -1)) {
      String name = withoutParameters(segment);
      if (name.equals(".") || name.equals("..")) {
        return true;
      }
    }
    return false;
  }

  private static String withoutParameters(String segment) {
    int semicolon = segment.indexOf(';');
    return semicolon < 0 ? segment : segment.substring(0, semicolon);
  }

  private static boolean hasControlCharacter(String path) {
    return path.chars().anyMatch(Character::isISOControl);
  }
}
