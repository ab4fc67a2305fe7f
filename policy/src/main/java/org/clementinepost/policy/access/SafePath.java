package org.clementinepost.policy.access;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/**
 * Decides whether a path means the same to the route table and to every backend server.
 *
 * <p>A dot segment, plain or encoded, would let a request for an open route reach what lies beside
 * it once a backend server resolves the segment.
 */
public final class SafePath {
  /** Rounds of decoding after which a path that still changes is taken for an attack. */
  private static final int MAX_DECODING_ROUNDS = 3;

  private SafePath() {}

  /** Whether a path may be routed. */
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
      // A plus sign is itself in a path, unlike in a form.
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
